import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { type Calls, startPlatform } from "./platform.ts";
import { fetchJson } from "./process/json_client.ts";
import { orderFault } from "./process/platform_client.ts";

async function platformWith(
  t: TestContext,
  config: Parameters<typeof startPlatform>[0] = {},
) {
  const platform = await startPlatform(config);
  t.after(() => platform.close());
  const place = `${platform.url}/objects/notes/n`;
  return {
    url: platform.url,
    read: () => fetchJson(place),
    write: (value: unknown, ifVersion: number) =>
      fetchJson(place, {
        method: "PUT",
        headers: { "if-version": `${ifVersion}` },
        body: value,
      }),
    watch: (from: number) =>
      fetchJson(`${platform.url}/watch/notes?from=${from}&wait=5000`),
    calls: async () => {
      const { body } = await fetchJson(`${platform.url}/calls`);
      return body as Calls;
    },
  };
}

describe("platform", () => {
  it("writes only over the version named", async (t) => {
    const platform = await platformWith(t);
    const made = await platform.write("a", 0);
    assert.deepEqual(made, { status: 200, body: { version: 1 } });
    const lost = await platform.write("b", 0);
    assert.deepEqual(lost, { status: 409, body: { version: 1 } });
    assert.equal((await platform.write("c", 1)).status, 200);
    assert.deepEqual((await platform.read()).body, {
      kind: "notes",
      name: "n",
      version: 2,
      value: "c",
    });
  });

  it("applies a write whose reply is lost", async (t) => {
    const platform = await platformWith(t);
    await orderFault(platform.url, { fault: "lose-reply", count: 1 });
    await assert.rejects(platform.write("a", 0));
    assert.equal((await platform.read()).status, 200);
    assert.equal((await platform.write("b", 1)).status, 200);
  });

  it("wakes a watch at a change and counts it as one call", async (t) => {
    const platform = await platformWith(t);
    const watch = platform.watch(0);
    await platform.write("a", 0);
    const event = { type: "put", name: "n", value: "a", version: 1 };
    assert.deepEqual((await watch).body, { revision: 1, events: [event] });
    const { watches, writes, reads } = await platform.calls();
    assert.deepEqual({ watches, writes, reads }, {
      watches: 1,
      writes: 1,
      reads: 0,
    });
  });

  it("sends a watch that is too old to list again", async (t) => {
    const platform = await platformWith(t, { keptEvents: 1 });
    await platform.write("a", 0);
    await platform.write("b", 1);
    assert.equal((await platform.watch(0)).status, 410);
    assert.equal((await platform.watch(1)).status, 200);
  });

  it("bounds the rate of writes and the size of values", async (t) => {
    const limited = await platformWith(t, { writesPerSecond: 0 });
    assert.equal((await limited.write("a", 0)).status, 429);
    assert.equal((await limited.read()).status, 404);
    const small = await platformWith(t, { maxValueBytes: 3 });
    assert.equal((await small.write("ab", 0)).status, 413);
  });

  it("has outages", async (t) => {
    const platform = await platformWith(t);
    await orderFault(platform.url, { fault: "down", part: "objects" });
    assert.equal((await platform.read()).status, 503);
    assert.equal((await fetchJson(`${platform.url}/hosts`)).status, 200);
    await orderFault(platform.url, { fault: "none" });
    assert.equal((await platform.read()).status, 404);
  });
});
