import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerLoads } from "../process/runner_loads.ts";
import type { PlacedRequest } from "../process/runner_load.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import { CapacityWait } from "./capacity_wait.ts";

const DAEMONS = 8;
const PROMPT_TOKENS = 15_000;
/** Prefill rate of an engine. */
const PREFILL_TOKENS_PER_MS = 50;
const STEP_MS = 20;
const EXCHANGE_INTERVAL_MS = 60;
/** Prefill backlog at which daemons stop sending, in tokens. */
const MAX_BACKLOG_TOKENS = 20_000;

/** One daemon with requests that wait for the runner. */
interface Daemon {
  readonly name: string;
  readonly loads: RunnerLoads;
  readonly pending: {
    readonly arrivedAt: number;
    readonly wait: CapacityWait;
  }[];
}

function daemonWith(name: string, count: number, first: number): Daemon {
  const pending = Array.from({ length: count }, (_, index) => {
    const arrivedAt = first + index;
    return {
      arrivedAt,
      wait: new CapacityWait({ rank: 0, arrivedAt, startBy: Infinity }),
    };
  });
  return { name, loads: new RunnerLoads(), pending };
}

function exchangeLoads(daemons: readonly Daemon[]): void {
  for (const from of daemons) {
    const { own, queue } = from.loads.of("r");
    for (const to of daemons) {
      if (to === from) continue;
      to.loads.of("r").setNeighbourLoad(from.name, own, {
        now: 0,
        waiting: queue.ownEntries,
      });
    }
  }
}

/** Sends the waiting requests of one daemon for which there is capacity. */
function sendWithinCapacity(daemon: Daemon, options: {
  readonly now: number;
  readonly propagationMs: number;
  readonly sent: { readonly daemon: Daemon; readonly placed: PlacedRequest }[];
}): void {
  const { now, propagationMs, sent } = options;
  const load = daemon.loads.of("r");
  for (const request of [...daemon.pending]) {
    const key = { rank: 0, arrivedAt: request.arrivedAt, startBy: Infinity };
    const ahead = load.total.unreadTokens +
      load.queue.workAhead(key, now).unreadTokens;
    const hasCapacity = ahead <= MAX_BACKLOG_TOKENS;
    if (hasCapacity && request.wait.maySend(load, { now, propagationMs })) {
      request.wait.end();
      daemon.pending.splice(daemon.pending.indexOf(request), 1);
      const placed = {
        unreadTokens: PROMPT_TOKENS,
        memoryTokens: PROMPT_TOKENS,
        tight: false,
      };
      load.place(placed, now);
      sent.push({ daemon, placed });
      continue;
    }
    request.wait.moveTo(load, {
      runner: "r",
      prefillTokens: PROMPT_TOKENS,
      now,
    });
  }
}

/**
 * Simulates daemons until all prompts are prefilled; returns the largest
 * backlog.
 */
function simulate(
  propagationMs: number,
): { maxBacklogTokens: number; endedAt: number } {
  const daemons = Array.from(
    { length: DAEMONS },
    (_, index) => daemonWith(`d-${index}`, 4, index * 4),
  );
  const backlog: { readonly daemon: Daemon; readonly placed: PlacedRequest }[] =
    [];
  let prefillable = 0;
  let maxBacklogTokens = 0;
  // All requests have waited for another runner, and see this one free at once.
  for (const { pending, loads } of daemons) {
    for (const { wait } of pending) {
      wait.moveTo(new RunnerLoads().of("elsewhere"), {
        runner: "elsewhere",
        prefillTokens: 0,
        now: -1,
      });
    }
    loads.of("r");
  }
  for (let now = 0; now < 60_000; now += STEP_MS) {
    for (const daemon of daemons) {
      sendWithinCapacity(daemon, { now, propagationMs, sent: backlog });
    }
    if (now % EXCHANGE_INTERVAL_MS === EXCHANGE_INTERVAL_MS - STEP_MS) {
      exchangeLoads(daemons);
    }
    maxBacklogTokens = Math.max(
      maxBacklogTokens,
      backlog.length * PROMPT_TOKENS,
    );
    prefillable += STEP_MS * PREFILL_TOKENS_PER_MS;
    while (backlog.length > 0 && prefillable >= PROMPT_TOKENS) {
      const { daemon, placed } = backlog.shift()!;
      daemon.loads.of("r").release(placed);
      prefillable -= PROMPT_TOKENS;
    }
    if (backlog.length === 0) prefillable = 0;
    const waiting = daemons.some(({ pending }) => pending.length > 0);
    if (!waiting && backlog.length === 0) {
      return { maxBacklogTokens, endedAt: now };
    }
  }
  return { maxBacklogTokens, endedAt: Infinity };
}

// Guards against all daemons sending to one free runner at the same time. Long
// prompts wait at every daemon, and each sees at the same moment that the
// runner becomes free. If all send at once, the runner prefills 32 prompts for
// ten seconds back to back: its streams get a token per 40 ms and time out, and
// the work on them is lost.
test("requests waiting at several daemons go to a free runner in turn", () => {
  const { maxBacklogTokens, endedAt } = simulate(1.5 * EXCHANGE_INTERVAL_MS);
  assert.ok(
    maxBacklogTokens <= 4 * PROMPT_TOKENS,
    `${maxBacklogTokens} tokens of backlog`,
  );
  const prefillMs = DAEMONS * 4 * PROMPT_TOKENS / PREFILL_TOKENS_PER_MS;
  assert.ok(endedAt < 1.25 * prefillMs, `ended after ${endedAt} ms`);
});

test("the oldest of the most urgent requests goes first at any daemon", () => {
  const load = new RunnerLoads().of("r");
  const ahead = (key: Omit<QueueKey, "startBy">) =>
    load.queue.workAhead({ ...key, startBy: Infinity }, 0);
  const aheadTokens = (key: Omit<QueueKey, "startBy">) =>
    ahead(key).unreadTokens;
  load.queue.add({
    rank: 1,
    arrivedAt: 5,
    startBy: Infinity,
    requests: 1,
    unreadTokens: 10,
  });
  const share = load.own;
  const waiting = [
    {
      rank: 1,
      arrivedAt: 3,
      startBy: Infinity,
      requests: 1,
      unreadTokens: 100,
    },
    {
      rank: 0,
      arrivedAt: 9,
      startBy: Infinity,
      requests: 1,
      unreadTokens: 1_000,
    },
  ];
  load.setNeighbourLoad("other", share, { now: 0, waiting });
  assert.equal(aheadTokens({ rank: 0, arrivedAt: 1 }), 0);
  assert.equal(aheadTokens({ rank: 1, arrivedAt: 1 }), 1_000);
  assert.equal(aheadTokens({ rank: 1, arrivedAt: 4 }), 1_100);
  assert.equal(aheadTokens({ rank: 2, arrivedAt: 0 }), 1_110);
  assert.equal(ahead({ rank: 2, arrivedAt: 0 }).requests, 3);
  load.removeNeighbour("other");
  assert.equal(aheadTokens({ rank: 2, arrivedAt: 0 }), 10);
});

test("a request that has not waited is sent at once", () => {
  const load = new RunnerLoads().of("r");
  const wait = new CapacityWait({ rank: 0, arrivedAt: 0, startBy: Infinity });
  assert.equal(wait.maySend(load, { now: 0, propagationMs: 90 }), true);
  wait.moveTo(load, { runner: "r", prefillTokens: 5, now: 0 });
  assert.equal(wait.maySend(load, { now: 90, propagationMs: 90 }), false);
  assert.equal(wait.maySend(load, { now: 91, propagationMs: 90 }), true);
  // A request whose place is used elsewhere, too, joins the queue again.
  wait.changeKey({ rank: 0, arrivedAt: 7, startBy: Infinity });
  assert.equal(load.queue.hasOwn, false);
  wait.moveTo(load, { runner: "r", prefillTokens: 5, now: 95 });
  assert.equal(load.queue.ownEntries[0]!.arrivedAt, 7);
  assert.equal(wait.maySend(load, { now: 100, propagationMs: 90 }), false);
  wait.end();
  assert.deepEqual(load.queue.ownEntries, []);
});
