import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  encodeChunk,
  sendRequest,
  SettableFeed,
  startFakeRunner,
  startRouter,
  streamHead,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

const ENGINE = {
  slots: 8,
  memoryTokens: 100_000,
  eventTokens: 1,
  fetchMsPerToken: undefined,
};
const LISTED_START = 1_000;
const TIMEOUT_MS = 8_000;
/** Time in ms after which a stream breaks off; a daemon asks a runner in less. */
const BREAK_MS = 100;

/** What a runner answers when it is asked for its start. */
type Answer = () => Promise<number | undefined>;

const SAME: Answer = () => Promise.resolve(LISTED_START);
const RESTARTED: Answer = () => Promise.resolve(LISTED_START + 1);
const SILENT: Answer = () => new Promise(() => {});
const FAILING: Answer = () => Promise.reject(new Error("refused"));

/**
 * A stream breaks off after its first event at the runner that is tried first. Returns
 * what its caller got, and how often runners continued it and were asked.
 */
async function breakStream(t: TestContext, answers: readonly Answer[]) {
  let continued = 0;
  let asked = 0;
  const runners = await Promise.all(
    answers.map((_, index) =>
      startFakeRunner(t, `r-${index}`, (socket, request, id) => {
        if (!/last-event-id: 1/i.test(request)) {
          const first = streamHead(id) + encodeChunk("id: 1\ndata: a\n\n");
          socket.write(first);
          return void setTimeout(() => socket.destroy(), BREAK_MS);
        }
        continued += 1;
        const second = encodeChunk("id: 2\ndata: b\n\n") + encodeChunk("");
        socket.write(streamHead(id) + second);
      })
    ),
  );
  const route = testRoute({
    streaming: true,
    repetition: "resumable",
    timeoutMs: TIMEOUT_MS,
    maxAttempts: 3,
  });
  const services = [{ name: "service", maxConnections: 100, engine: ENGINE }];
  const router = await startRouter(t, {
    configurations: new SettableFeed([
      testConfiguration([route], { services }),
    ]),
    runners: new SettableFeed(
      runners.map(({ runner }) => ({ ...runner, startedAtMs: LISTED_START })),
    ),
    async startTime({ name }) {
      const index = Number(name.slice(2));
      asked += 1;
      return await answers[index]!();
    },
  });
  await waitUntil(() => router.ready);
  const headers = { "x-deadline": String(TIMEOUT_MS) };
  const response = await sendRequest(router, { headers });
  return { router, response, continued, asked };
}

// Guards against events of two software versions in one stream while the entry of a
// runner that started again is old.
for (
  const [name, answer] of Object.entries({
    "has started again": RESTARTED,
    "does not answer": SILENT,
    "refuses the query": FAILING,
    "tells no start": () => Promise.resolve(undefined),
  })
) {
  test(`no stream continues at a runner that ${name}`, async (t) => {
    const { response, continued } = await breakStream(t, [answer, answer]);
    assert.equal(continued, 0);
    assert.equal(response.truncated, true);
  });
}

// Guards against a stream that began at new software under an old entry, and goes on at
// a runner of the old one.
for (const answers of [[RESTARTED, SAME], [SAME, RESTARTED]]) {
  test("a stream that begins at a runner that has started again does not continue", async (t) => {
    const { response, continued } = await breakStream(t, answers);
    assert.equal(continued, 0);
    assert.equal(response.truncated, true);
  });
}

test("a stream continues at a runner that has not started again", async (t) => {
  const { response, continued, asked } = await breakStream(t, [SAME, SAME]);
  assert.equal(response.truncated, false);
  assert.deepEqual([continued, asked > 0], [1, true]);
});

// Guards against callers that do not come back although runners of the version serve.
test("a resumed stream whose runners do not confirm their start is refused for a moment", async (t) => {
  let asked = 0;
  const answer = () => asked++ === 0 ? SAME() : FAILING();
  const { router } = await breakStream(t, [answer, answer]);
  const headers = {
    "x-id": "try-2",
    "x-resumes": "try-1",
    "last-event-id": "1",
    "x-deadline": String(TIMEOUT_MS),
  };
  const { status, headers: received } = await sendRequest(router, { headers });
  assert.equal(status, 503);
  assert.ok(Number(received["retry-after"]) > 0);
});
