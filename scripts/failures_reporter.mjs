// A reporter for Node's test runner that writes one line of JSON for each failed
// test, except those that failed only because a subtest did.
export default async function* failures(events) {
  for await (const { type, data } of events) {
    if (type !== "test:fail") continue;
    const { name, file, details } = data;
    if (details?.error?.failureType === "subtestsFailed") continue;
    yield `${JSON.stringify({ name, file })}\n`;
  }
}
