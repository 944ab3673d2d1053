/**
 * What a run under faults showed, from callers' records and runners' ledgers.
 *
 * @module
 */
import type { LedgerEntry } from "@umbermast/testing";
import type { Departure, Shutdown } from "./faults_effects.ts";
import type { CallerStory } from "./faults_callers.ts";
import { type Breach, judge } from "./judge.ts";
import type { CallerRecord } from "./load_record.ts";

/** Results of the requests sent while one fault, or one pair, struck. */
export interface SlotResult {
  readonly requests: number;
  readonly complete: number;
  readonly share: number;
  /** How those that are not complete ended, by outcome and code. */
  readonly others: Readonly<Record<string, number>>;
}

/** Results of a run. */
export interface FaultVerdict {
  readonly requests: number;
  readonly complete: number;
  readonly wrongOrMixed: number;
  readonly truncatedCalledComplete: number;
  readonly falseNotRun: number;
  readonly doubleRuns: number;
  readonly cutByShutdown: number;
  readonly newWorkToLeavingAfterMs: number;
  readonly staleOrders: number;
  /** Complete only because the caller tried again. */
  readonly retriedOk: number;
  readonly wastedWork: number;
  readonly byFault: Readonly<Record<string, SlotResult>>;
  /** The first breaches, for the reader. */
  readonly breaches: readonly Breach[];
}

/** A slot's requests. */
export interface SlotStories {
  readonly name: string;
  readonly stories: readonly CallerStory[];
}

/** Runs of one runner. */
export interface RunnerRuns {
  readonly url: string;
  readonly runs: readonly LedgerEntry[];
  /** Fencing numbers of the orders that it accepted, in order. */
  readonly fencing: readonly number[];
}

const BREACHES_SHOWN = 10;

/** Sets all records against all ledgers. */
export function faultVerdict(
  slots: readonly SlotStories[],
  seen: {
    readonly runners: readonly RunnerRuns[];
    readonly departures: readonly Departure[];
    readonly shutdowns: readonly Shutdown[];
    readonly seconds: number;
  },
): FaultVerdict {
  const stories = slots.flatMap((slot) => slot.stories);
  const records = stories.flatMap((story) => story.tries);
  const runs = seen.runners.flatMap((runner) => runner.runs);
  const { breaches, wastedWork } = judge(records, runs, {
    targets: [],
    seconds: seen.seconds,
    until: Date.now(),
  });
  const corrupt = breaches.filter((b) => b.violation === "corrupt-answer");
  const short = corrupt.filter((b) => b.detail.startsWith("expected "));
  const unknown = breaches.filter((b) => b.violation === "unknown-run");
  return {
    requests: stories.length,
    complete: stories.filter(isComplete).length,
    wrongOrMixed: corrupt.length - short.length + notReplayed(unknown, records),
    truncatedCalledComplete: short.length,
    falseNotRun: count(breaches, "false-not-run"),
    doubleRuns: count(breaches, "double-run"),
    cutByShutdown: cutByShutdown(records, seen.shutdowns),
    newWorkToLeavingAfterMs: newWorkToLeaving(seen),
    staleOrders: staleOrders(seen.runners),
    retriedOk:
      stories.filter((story) => isComplete(story) && story.tries.length > 1)
        .length,
    wastedWork: Number(wastedWork.toFixed(4)),
    byFault: Object.fromEntries(
      slots.map((slot) => [slot.name, slotResult(slot.stories)]),
    ),
    breaches: breaches.slice(0, BREACHES_SHOWN),
  };
}

function isComplete(story: CallerStory): boolean {
  return story.tries.at(-1)?.answer.outcome === "complete";
}

function count(
  breaches: readonly Breach[],
  violation: Breach["violation"],
): number {
  return breaches.filter((breach) => breach.violation === violation).length;
}

/** A kept answer stands for the first try's run, under another request id. */
function notReplayed(
  unknown: readonly Breach[],
  records: readonly CallerRecord[],
): number {
  const keyed = new Set(
    records
      .filter((record) => record.idempotencyKey !== undefined)
      .map((record) => record.answer.requestId),
  );
  return unknown.filter((breach) => !keyed.has(breach.requestId)).length;
}

function slotResult(stories: readonly CallerStory[]): SlotResult {
  const complete = stories.filter(isComplete).length;
  const others: Record<string, number> = {};
  for (const story of stories) {
    if (isComplete(story)) continue;
    const answer = story.tries.at(-1)?.answer;
    const what = `${answer?.outcome} ${answer?.code ?? answer?.status}`;
    others[what] = (others[what] ?? 0) + 1;
  }
  const requests = stories.length;
  const share = requests === 0 ? 1 : complete / requests;
  return { requests, complete, share: Number(share.toFixed(4)), others };
}

/** Requests that a daemon had when it was told to end, and that it broke. */
function cutByShutdown(
  records: readonly CallerRecord[],
  shutdowns: readonly Shutdown[],
): number {
  const BROKEN = new Set(["truncated", "failed", "unknown", "corrupt"]);
  return records.filter((record) =>
    shutdowns.some(({ url, at }) =>
      record.daemon === url && record.sentAt < at &&
      record.sentAt + record.answer.wholeMs > at &&
      BROKEN.has(record.answer.outcome)
    )
  ).length;
}

/** Longest time after the first sign at which a leaving runner got new work. */
function newWorkToLeaving(seen: {
  readonly runners: readonly RunnerRuns[];
  readonly departures: readonly Departure[];
}): number {
  let longest = 0;
  for (const { url, at, until } of seen.departures) {
    const runs = seen.runners.find((runner) => runner.url === url)?.runs ?? [];
    for (const run of runs) {
      if (run.startedAt < at || run.startedAt > until) continue;
      longest = Math.max(longest, run.startedAt - at);
    }
  }
  return Math.round(longest);
}

/** Orders that were accepted after one with a higher fencing number. */
function staleOrders(runners: readonly RunnerRuns[]): number {
  let stale = 0;
  for (const { fencing } of runners) {
    let highest = 0;
    for (const number of fencing) {
      if (number < highest) stale += 1;
      highest = Math.max(highest, number);
    }
  }
  return stale;
}
