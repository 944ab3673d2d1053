import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LedgerEntry, StackOptions } from "../src/mod.ts";
import { ANSWER_OF_A_RUN, deploy, type Deployed } from "./fixtures.ts";

const CARD = { repeatable: false, body: '{"card":7}' };
const KEYED = { ...CARD, idempotencyKey: "card-7" };

function runsOf(
  entries: readonly LedgerEntry[],
): readonly LedgerEntry[] {
  return entries.filter(({ refused }) => !refused);
}

function small(
  t: Parameters<typeof deploy>[0],
  options: StackOptions = {},
): Promise<Deployed> {
  return deploy(t, {
    ...options,
    daemons: 2,
    runners: 0,
    plainRunners: 1,
    proxies: { runners: true },
  });
}

describe("a job card under faults, with real processes", () => {
  // The card is made and its answer is lost on the way back. The caller tries
  // again through another daemon: a second card would send two vans, and "not
  // run" would be a lie.
  it("is made once when its answer is lost, and the retry is told so", async (t) => {
    const deployed = await small(t);
    const [runner] = deployed.plainRunners();
    runner?.proxy?.order({ fault: "lose-reply", match: ANSWER_OF_A_RUN });
    const first = await deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    const second = await deployed.caller(1, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    assert.equal(first.outcome, "unknown", JSON.stringify(first));
    assert.equal(second.outcome, "unknown", JSON.stringify(second));
    assert.equal(second.status, 409);
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });

  it("is answered again from what was kept, without a second run", async (t) => {
    const deployed = await small(t);
    const first = await deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    assert.equal(first.outcome, "complete", JSON.stringify(first));
    const retry = deployed.caller(1, "yard-desk");
    // The answer is recorded after the caller has it, so a retry may come
    // before; until then it is told that the first try is running.
    let second = await retry.plain(deployed.cardPath, KEYED);
    while (second.status === 409) {
      second = await retry.plain(deployed.cardPath, KEYED);
    }
    assert.equal(second.status, first.status);
    assert.deepEqual(second.body?.callId, first.body?.callId);
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });

  it("without a key is sent exactly once when its answer is lost", async (t) => {
    const deployed = await small(t);
    const [runner] = deployed.plainRunners();
    runner?.proxy?.order({ fault: "lose-reply", match: ANSWER_OF_A_RUN });
    const answer = await deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, CARD);
    assert.equal(answer.outcome, "unknown", JSON.stringify(answer));
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });

  // The platform's store is down, so no claim can be made: the card is refused
  // rather than sent without one, and the caller knows that it did not run.
  it("is refused as not run while the store is down", async (t) => {
    const deployed = await small(t);
    await deployed.stack.control(deployed.stack.platform.url, {
      fault: "down",
      part: "objects",
    });
    const answer = await deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    assert.equal(answer.outcome, "not-run", JSON.stringify(answer));
    assert.equal(answer.status, 503);
    assert.notEqual(answer.retryAfterMs, undefined);
    assert.deepEqual(await deployed.ledger(), []);
  });

  // The daemon that holds the claim is killed while the card is being made.
  // Its caller tries again with the same key through the other daemon.
  it("is made at most once when its daemon is killed", async (t) => {
    const deployed = await small(t, { plainConfig: { serviceMs: 5_000 } });
    const lost = deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    await deployed.ledgerWhen((entries) => entries.length === 1);
    process.kill(deployed.daemon(0).pid, "SIGKILL");
    await lost;
    const second = await deployed.caller(1, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    assert.equal(second.outcome, "unknown", JSON.stringify(second));
    assert.equal(second.status, 409);
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });

  // The daemon is paused while the card is made and wakes after its own time
  // limit. The answer has come by then, but the limit's timer fires before the
  // connection is read: the caller would be told "unknown" of a card that was
  // made and answered in time.
  it("is answered when its daemon was paused for longer than the answer's limit", async (t) => {
    const LIMIT_MS = 2_000;
    const deployed = await small(t, {
      plainConfig: { serviceMs: 500 },
      daemonSettings: { attempts: { wholeAnswerMs: LIMIT_MS } },
    });
    const { child } = deployed.daemon(0);
    const call = deployed.caller(0, "yard-desk").plain(deployed.cardPath, CARD);
    await deployed.ledgerWhen((entries) => entries.length === 1);
    child.kill("SIGSTOP");
    await deployed.ledgerWhen(([entry]) => entry?.end === "complete");
    // Only time itself can outlast the limit; more of it changes nothing.
    await new Promise((over) => setTimeout(over, 1.5 * LIMIT_MS));
    child.kill("SIGCONT");
    const answer = await call;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
  });

  // The claim takes effect in the store and the reply to its write is lost, so
  // the daemon cannot know whether it has the key. It reads back and finds its
  // own claim: the card is made, once, and a retry gets the same answer.
  it("is made once when the reply to its claim is lost", async (t) => {
    const deployed = await small(t);
    await deployed.stack.control(deployed.stack.platform.url, {
      fault: "lose-reply",
      part: "objects",
      count: 1,
    });
    const caller = deployed.caller(0, "yard-desk");
    let answer = await caller.plain(deployed.cardPath, KEYED);
    while (answer.outcome !== "complete") {
      // Anything else would be final, and the card would never be made.
      assert.notEqual(answer.retryAfterMs, undefined, JSON.stringify(answer));
      answer = await caller.plain(deployed.cardPath, KEYED);
    }
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });

  // Two faults at once: the runner's answer is lost and the daemon that waits
  // for it is killed right after. Neither may lead to a second card.
  it("is made at most once when its answer is lost and its daemon killed", async (t) => {
    const deployed = await small(t, { plainConfig: { serviceMs: 1_000 } });
    const [runner] = deployed.plainRunners();
    const lost = deployed.caller(0, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    await deployed.ledgerWhen((entries) => entries.length === 1);
    runner?.proxy?.order({ fault: "silent" });
    await deployed.ledgerWhen(([entry]) => entry?.end === "complete");
    process.kill(deployed.daemon(0).pid, "SIGKILL");
    await lost;
    const second = await deployed.caller(1, "yard-desk")
      .plain(deployed.cardPath, KEYED);
    assert.equal(second.outcome, "unknown", JSON.stringify(second));
    assert.equal(runsOf(await deployed.ledger()).length, 1);
  });
});
