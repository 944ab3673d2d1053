import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { Caller, type ChatOptions } from "./client.ts";
import { startEngine } from "./engine.ts";
import { fetchJson } from "./process/json_client.ts";
import { orderFault } from "./process/platform_client.ts";
import { digestPrefix } from "./request/prompt.ts";
import type { LedgerEntry } from "./process/ledger.ts";

const MODEL = "umber-small";
const LONG = 4000;

async function engineWith(
  t: TestContext,
  config: Parameters<typeof startEngine>[0],
) {
  const engine = await startEngine(config);
  const caller = new Caller(engine.url);
  t.after(async () => {
    caller.close();
    await engine.close();
  });
  async function ledger(): Promise<readonly LedgerEntry[]> {
    const { body } = await fetchJson(`${engine.url}/ledger`);
    return body as readonly LedgerEntry[];
  }
  return {
    url: engine.url,
    ledger,
    /** Waits until the ledger is as wanted. */
    async until(wanted: (entries: readonly LedgerEntry[]) => boolean) {
      while (!wanted(await ledger()));
    },
    chat(requestId: string, options: ChatOptions & Priority = {}) {
      const headers = {
        "umbermast-request-id": requestId,
        "umbermast-attempt-id": `${requestId}/1`,
        "umbermast-priority": `${options.priority ?? 0}`,
        ...options.headers,
      };
      return caller.chat(MODEL, { ...options, headers });
    },
  };
}

interface Priority {
  readonly priority?: number;
}

/** A signal that aborts once tokens arrive. */
function leaveAtFirstToken() {
  const controller = new AbortController();
  return { signal: controller.signal, onTokens: () => controller.abort() };
}

describe("model engine", () => {
  it("carries a short answer while a long one runs", async (t) => {
    const engine = await engineWith(t, { maxBatch: 2 });
    const leave = new AbortController();
    let short: ReturnType<typeof engine.chat> | undefined;
    const long = engine.chat("long", {
      testTokens: LONG,
      signal: leave.signal,
      onTokens: () => short ??= engine.chat("short", { testTokens: 5 }),
    });
    await engine.until((entries) => entries.length === 2);
    assert.equal((await short)?.outcome, "complete");
    const [first] = await engine.ledger();
    assert.equal(first?.endedAt, null);
    leave.abort();
    await long;
  });

  it("admits the waiting by priority, then by arrival", async (t) => {
    const engine = await engineWith(t, { maxBatch: 1 });
    const leave = new AbortController();
    const blocker = engine.chat("blocker", {
      testTokens: LONG,
      signal: leave.signal,
    });
    const calls: Promise<unknown>[] = [];
    const ended: string[] = [];
    for (const [name, priority] of [["b", 2], ["c", 2], ["a", 0]] as const) {
      const waiting = calls.length + 1;
      await engine.until((entries) => entries.length === waiting);
      const call = engine.chat(name, { priority, testTokens: 2 });
      calls.push(call.then(() => ended.push(name)));
    }
    await engine.until((entries) => entries.length === 4);
    leave.abort();
    await Promise.all([blocker, ...calls]);
    assert.deepEqual(ended, ["a", "b", "c"]);
  });

  it("frees the place of a caller that has left", async (t) => {
    const engine = await engineWith(t, { maxBatch: 1 });
    const left = await engine.chat("left", {
      testTokens: LONG,
      ...leaveAtFirstToken(),
    });
    const next = await engine.chat("next", { testTokens: 3 });
    const [entry] = await engine.ledger();
    assert.equal(left.outcome, "cancelled");
    assert.equal(next.outcome, "complete");
    assert.equal(entry?.end, "cancelled");
    assert.ok(entry.tokens < LONG);
  });

  it("resumes a stream at its offset, as one run", async (t) => {
    const engine = await engineWith(t, {});
    const headers = { "umbermast-resumable": "30" };
    const broken = await engine.chat("r", {
      testTokens: 40,
      headers,
      ...leaveAtFirstToken(),
    });
    const resumed = await engine.chat("r", {
      fromToken: broken.tokens,
      headers: {
        ...headers,
        "umbermast-attempt-id": "r/2",
        "umbermast-resume-offset": `${broken.tokens}`,
      },
    });
    const entries = await engine.ledger();
    assert.equal(resumed.outcome, "complete", resumed.finding);
    assert.equal(resumed.tokens, 40);
    assert.deepEqual(entries.map(({ resumes }) => resumes), [1]);
  });

  // The engine goes silent in the middle of a stream: the connection stays open
  // and nothing more comes. A connection that is opened afterwards works.
  it("silences open connections for good", async (t) => {
    const engine = await engineWith(t, {});
    const leave = new AbortController();
    let silenced: Promise<void> | undefined;
    const silent = engine.chat("s", {
      testTokens: 100,
      signal: leave.signal,
      onTokens: () => {
        silenced ??= orderFault(engine.url, { fault: "silent" })
          .then(() => orderFault(engine.url, { fault: "none" }));
      },
    });
    await engine.until(([entry]) => entry?.end === "complete");
    await silenced;
    assert.equal((await engine.chat("next", {})).outcome, "complete");
    leave.abort();
    const answer = await silent;
    assert.equal(answer.outcome, "cancelled");
    assert.ok(answer.tokens < 100);
  });

  it("answers whole, and tells a wrong model that it did not run", async (t) => {
    const engine = await engineWith(t, {});
    const whole = await engine.chat("w", { streamed: false, testTokens: 7 });
    assert.equal(whole.outcome, "complete", whole.finding);
    assert.equal(whole.tokens, 7);
    const refused = await fetchJson(`${engine.url}/v1/chat/completions`, {
      method: "POST",
      body: { model: "other", messages: [] },
    });
    assert.equal(refused.status, 404);
    const entries = await engine.ledger();
    assert.deepEqual(entries.map(({ end }) => end), ["complete", "refused"]);
  });

  it("tells of its prefix cache, and gives and takes its content", async (t) => {
    const { url, chat } = await engineWith(t, {
      cacheTokens: 20,
      cacheEventLoss: 0,
      cacheEventLagMs: 0,
    });
    const system = "x".repeat(60);
    const prefix = digestPrefix(system);
    await chat("p", { system, testTokens: 1 });
    const held = await fetchJson(`${url}/kv/${prefix}`);
    assert.deepEqual(held.body, { prefix, tokens: 15 });
    const body = { tokens: 10 };
    await fetchJson(`${url}/kv/other`, { method: "PUT", body });
    const { body: feed } = await fetchJson(`${url}/cache-events?from=0`);
    assert.deepEqual(feed, {
      next: 3,
      events: [
        { type: "stored", prefix },
        { type: "evicted", prefix },
        { type: "stored", prefix: "other" },
      ],
    });
  });

  it("refuses an old fencing number only when it checks", async (t) => {
    const order = (fencing: number) => ({ order: "role", role: "x", fencing });
    for (const checksFencing of [true, false]) {
      const { url } = await engineWith(t, { checksFencing });
      const send = (body: object) =>
        fetchJson(`${url}/orders`, { method: "POST", body });
      assert.equal((await send(order(7))).status, 200);
      const old = await send(order(6));
      assert.equal(old.status, checksFencing ? 412 : 200);
      assert.deepEqual(old.body, { fencing: 7 });
    }
  });
});
