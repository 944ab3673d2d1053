/**
 * Judges a run from both ends: what callers saw, and what runners' ledgers say
 * reached them. Nothing that a daemon says of itself is believed.
 *
 * @module
 */
import type { CallerRecord } from "./load_record.ts";
import { quantile } from "./report.ts";

/** One run in a runner's ledger; times in epoch milliseconds. */
export interface LedgerRun {
  readonly requestId: string | null;
  readonly attemptId: string | null;
  readonly idempotencyKey: string | null;
  readonly class: string | null;
  readonly startedAt: number;
  /** Null while the run is going on. */
  readonly endedAt: number | null;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly cancelled: boolean;
  /** The runner refused before starting. */
  readonly refused: boolean;
}

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
  /** An answer ended as if whole, but is not. */
  | "truncated"
  /** A caller got the answer to another request. */
  | "foreign-answer"
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
  if (record.end !== "complete" || record.foreign) return false;
  const first = record.firstTokenAt ?? record.headAt ?? record.endedAt;
  if (first - record.dueAt > (target.firstTokenMs ?? Infinity)) return false;
  if (record.endedAt - record.dueAt > (target.wholeAnswerMs ?? Infinity)) {
    return false;
  }
  return (record.meanGapMs ?? 0) <= (target.betweenTokensMs ?? Infinity);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function ofClass(
  target: Target,
  records: readonly CallerRecord[],
): ClassResult {
  const own = records.filter((record) => record.class === target.class);
  const complete = own.filter((record) => record.end === "complete");
  const within = complete.filter((record) => attained(record, target));
  const firsts = complete.flatMap((record) =>
    record.firstTokenAt === undefined
      ? []
      : [record.firstTokenAt - record.dueAt]
  );
  return {
    class: target.class,
    sent: own.length,
    complete: complete.length,
    attained: within.length,
    attainment: own.length === 0 ? 1 : within.length / own.length,
    refused: own.filter((record) => record.end === "refused").length,
    p50FirstTokenMs: quantile(firsts, 0.5),
    p99FirstTokenMs: quantile(firsts, 0.99),
    tokens: sum(complete.map((record) => record.tokens)),
  };
}

function breach(
  violation: Violation,
  record: CallerRecord,
  detail: string,
): Breach {
  return {
    violation,
    requestId: record.requestId ?? `arrival ${record.index}`,
    class: record.class,
    detail,
  };
}

function breachesOf(
  record: CallerRecord,
  runs: readonly LedgerRun[],
): readonly Breach[] {
  const found: Breach[] = [];
  const attempts = runs.map((run) => run.attemptId).join(" ");
  if (record.end === "truncated") {
    found.push(breach("truncated", record, `${record.tokens} tokens came`));
  }
  if (record.foreign) found.push(breach("foreign-answer", record, attempts));
  if (record.outcome === "not-run" && runs.length > 0) {
    found.push(breach("false-not-run", record, attempts));
  }
  if (record.end === "complete" && runs.length === 0) {
    found.push(breach("unknown-run", record, `status ${record.status}`));
  }
  return found;
}

/** Runs of what may run once only, by idempotency key, else by request. */
function doubleRuns(
  records: readonly CallerRecord[],
  started: readonly LedgerRun[],
): readonly Breach[] {
  const found: Breach[] = [];
  const seen = new Set<string>();
  for (const record of records) {
    const key = record.idempotencyKey ?? record.requestId;
    if (record.repeatable || key === undefined || seen.has(key)) continue;
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
  runs: readonly LedgerRun[],
): ReadonlyMap<string, readonly LedgerRun[]> {
  const found = new Map<string, LedgerRun[]>();
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
  runs: ReadonlyMap<string, readonly LedgerRun[]>,
): ReadonlySet<LedgerRun> {
  const useful = new Set<LedgerRun>();
  for (const record of records) {
    if (record.end !== "complete" || record.requestId === undefined) continue;
    const whole = (runs.get(record.requestId) ?? [])
      .filter((run) => !run.cancelled);
    const last = whole.at(-1);
    if (last !== undefined) useful.add(last);
  }
  return useful;
}

function wasted(
  started: readonly LedgerRun[],
  options: {
    readonly useful: ReadonlySet<LedgerRun>;
    readonly cost: (run: LedgerRun) => number;
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
  runs: readonly LedgerRun[],
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
      record.class === target.class && attained(record, target)
    )
  );
  return {
    classes: options.targets.map((target) => ofClass(target, records)),
    goodput: sum(good.map((record) => record.tokens)) / options.seconds,
    wastedWork: wasted(started, {
      useful,
      cost: (run) => (run.endedAt ?? options.until) - run.startedAt,
    }),
    wastedTokens: wasted(started, { useful, cost: (run) => run.tokens }),
    breaches: [
      ...records.flatMap((record) =>
        breachesOf(record, requests.get(record.requestId ?? "") ?? [])
      ),
      ...doubleRuns(records, started),
    ],
  };
}
