/**
 * Judges a run from both ends: what callers saw, and what runners' ledgers say
 * reached them. Nothing that a daemon says of itself is believed.
 *
 * @module
 */
import type { Answer, LedgerEntry } from "@umbermast/testing";
import {
  betweenTokensMs,
  type CallerRecord,
  firstTokenMs,
  wholeMs,
} from "./load_record.ts";
import { quantile } from "./report.ts";

/** What a class was promised, in milliseconds from when a request was due. */
export interface Target {
  readonly class: string;
  readonly firstTokenMs?: number;
  /** Bounds the mean gap between tokens. */
  readonly betweenTokensMs?: number;
  readonly wholeAnswerMs?: number;
}

/** What a promise that was broken is called. */
export type Violation =
  /** A request that is not repeatable ran more than once. */
  | "double-run"
  /** The caller was told "not run", and a ledger holds a run. */
  | "false-not-run"
  /** An answer ended as if whole, but tokens are foreign, missing or doubled. */
  | "corrupt-answer"
  /** A whole answer of which no ledger knows. */
  | "unknown-run";

/** One broken promise, with its place. */
export interface Breach {
  readonly violation: Violation;
  readonly requestId: string;
  readonly class: string;
  readonly detail: string;
}

/** Results of one class. */
export interface ClassResult {
  readonly class: string;
  readonly sent: number;
  readonly complete: number;
  /** Complete and within target. */
  readonly attained: number;
  /** `attained / sent`; 1 when nothing was sent. */
  readonly attainment: number;
  readonly refused: number;
  readonly p50FirstTokenMs: number | undefined;
  readonly p99FirstTokenMs: number | undefined;
  /** Tokens of complete answers. */
  readonly tokens: number;
}

/** The judgement of a run. */
export interface Judgement {
  readonly classes: readonly ClassResult[];
  /** Tokens of answers complete and within target, a second of the run. */
  readonly goodput: number;
  /** Share of engine time spent on runs whose answer reached nobody whole. */
  readonly wastedWork: number;
  /** The same share, by tokens generated. */
  readonly wastedTokens: number;
  readonly breaches: readonly Breach[];
}

/** Tells whether a request met its class's target. */
export function attained(record: CallerRecord, target: Target): boolean {
  if (record.answer.outcome !== "complete") return false;
  const first = firstTokenMs(record) ?? wholeMs(record);
  if (first > (target.firstTokenMs ?? Infinity)) return false;
  if (wholeMs(record) > (target.wholeAnswerMs ?? Infinity)) return false;
  const between = betweenTokensMs(record) ?? 0;
  return between <= (target.betweenTokensMs ?? Infinity);
}

/** Tells whether a request was refused before it ran. */
function isRefused(answer: Answer): boolean {
  return answer.outcome === "not-run" && answer.status !== 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function ofClass(
  target: Target,
  records: readonly CallerRecord[],
): ClassResult {
  const own = records.filter(({ arrival }) => arrival.class === target.class);
  const complete = own.filter(({ answer }) => answer.outcome === "complete");
  const within = complete.filter((record) => attained(record, target));
  const firsts = complete.map(firstTokenMs).filter((ms) => ms !== undefined);
  return {
    class: target.class,
    sent: own.length,
    complete: complete.length,
    attained: within.length,
    attainment: own.length === 0 ? 1 : within.length / own.length,
    refused: own.filter(({ answer }) => isRefused(answer)).length,
    p50FirstTokenMs: quantile(firsts, 0.5),
    p99FirstTokenMs: quantile(firsts, 0.99),
    tokens: sum(complete.map(({ answer }) => answer.tokens)),
  };
}

function breach(
  violation: Violation,
  record: CallerRecord,
  detail: string,
): Breach {
  const { arrival, answer } = record;
  return {
    violation,
    requestId: answer.requestId || `arrival ${arrival.index}`,
    class: arrival.class,
    detail,
  };
}

function breachesOf(
  record: CallerRecord,
  runs: readonly LedgerEntry[],
): readonly Breach[] {
  const { answer } = record;
  const found: Breach[] = [];
  const attempts = runs.map((run) => run.attemptId).join(" ");
  if (answer.outcome === "corrupt") {
    found.push(breach("corrupt-answer", record, answer.finding ?? ""));
  }
  if (answer.outcome === "not-run" && runs.length > 0) {
    found.push(breach("false-not-run", record, attempts));
  }
  if (answer.outcome === "complete" && runs.length === 0) {
    found.push(breach("unknown-run", record, `status ${answer.status}`));
  }
  return found;
}

/** Runs of what may run once only, by idempotency key, else by request. */
function doubleRuns(
  records: readonly CallerRecord[],
  started: readonly LedgerEntry[],
): readonly Breach[] {
  const found: Breach[] = [];
  const seen = new Set<string>();
  for (const record of records) {
    const key = record.idempotencyKey ?? record.answer.requestId;
    if (record.arrival.repeatable || key === "" || seen.has(key)) continue;
    seen.add(key);
    const runs = started.filter((run) =>
      record.idempotencyKey === undefined
        ? run.requestId === key
        : run.idempotencyKey === key
    );
    if (runs.length < 2) continue;
    const attempts = runs.map((run) => run.attemptId).join(" ");
    found.push(breach("double-run", record, attempts));
  }
  return found;
}

function byRequest(
  runs: readonly LedgerEntry[],
): ReadonlyMap<string, readonly LedgerEntry[]> {
  const found = new Map<string, LedgerEntry[]>();
  for (const run of runs) {
    if (run.requestId === null) continue;
    const list = found.get(run.requestId);
    if (list === undefined) found.set(run.requestId, [run]);
    else list.push(run);
  }
  return found;
}

/** The run whose answer the caller has: the last one that was not cancelled. */
function usefulRuns(
  records: readonly CallerRecord[],
  runs: ReadonlyMap<string, readonly LedgerEntry[]>,
): ReadonlySet<LedgerEntry> {
  const useful = new Set<LedgerEntry>();
  for (const record of records) {
    const { outcome, requestId } = record.answer;
    if (outcome !== "complete") continue;
    const whole = (runs.get(requestId) ?? [])
      .filter((run) => !run.cancelled);
    const last = whole.at(-1);
    if (last !== undefined) useful.add(last);
  }
  return useful;
}

function wasted(
  started: readonly LedgerEntry[],
  options: {
    readonly useful: ReadonlySet<LedgerEntry>;
    readonly cost: (run: LedgerEntry) => number;
  },
): number {
  const total = sum(started.map(options.cost));
  if (total === 0) return 0;
  const lost = started.filter((run) => !options.useful.has(run));
  return sum(lost.map(options.cost)) / total;
}

/**
 * Sets callers' records against runners' ledgers.
 *
 * @param records one for each request sent.
 * @param runs all runners' ledgers together.
 * @param options `seconds` is the length of the run, for rates; `until`, in
 * epoch milliseconds, stands for the end of a run that has none.
 *
 * @example
 * ```ts
 * const { breaches } = judge(records, ledger, { targets, seconds: 60, until });
 * assert.deepEqual(breaches, []);
 * ```
 */
export function judge(
  records: readonly CallerRecord[],
  runs: readonly LedgerEntry[],
  options: {
    readonly targets: readonly Target[];
    readonly seconds: number;
    readonly until: number;
  },
): Judgement {
  const started = runs
    .filter((run) => !run.refused)
    .sort((a, b) => a.startedAt - b.startedAt);
  const requests = byRequest(started);
  const useful = usefulRuns(records, requests);
  const good = options.targets.flatMap((target) =>
    records.filter((record) =>
      record.arrival.class === target.class && attained(record, target)
    )
  );
  return {
    classes: options.targets.map((target) => ofClass(target, records)),
    goodput: sum(good.map(({ answer }) => answer.tokens)) / options.seconds,
    wastedWork: wasted(started, {
      useful,
      cost: (run) => (run.endedAt ?? options.until) - run.startedAt,
    }),
    wastedTokens: wasted(started, { useful, cost: (run) => run.tokens }),
    breaches: [
      ...records.flatMap((record) =>
        breachesOf(record, requests.get(record.answer.requestId) ?? [])
      ),
      ...doubleRuns(records, started),
    ],
  };
}
