/**
 * Figures of one phase under one policy, from callers' records and runners'
 * ledgers alone.
 *
 * @module
 */
import type { LedgerEntry } from "@umbermast/testing";
import type { Class } from "@umbermast/table";
import { attained } from "./judge.ts";
import { type CallerRecord, firstTokenMs } from "./load_record.ts";
import { quantile } from "./report.ts";
import { engineMs, SURGE_RUNNERS } from "./surge_plan.ts";

/** What one class got in one phase. */
export interface ClassFigures {
  readonly class: string;
  readonly sent: number;
  readonly attainment: number;
  /** Refused before it ran, by the caller's count. */
  readonly shed: number;
  readonly p50FirstTokenMs: number;
  readonly p99FirstTokenMs: number;
  /** Served share over the lesser of minimum share and demand; 1 suffices. */
  readonly serviceShare: number;
}

/** What one phase came to. */
export interface PhaseFigures {
  readonly phase: string;
  readonly classes: readonly ClassFigures[];
  /** Tokens of answers complete and in time, a second of the phase. */
  readonly goodput: number;
  /** Engine time of useful work in the phase over all engines' time. */
  readonly goodputOfCapacity: number;
  /** Engine time of all work in the phase over all engines' time. */
  readonly busy: number;
  /** Share of tokens generated for answers that reached nobody whole. */
  readonly wastedWork: number;
  /** Answers that were not whole, by outcome. */
  readonly incomplete: Readonly<Record<string, number>>;
}

/** What a phase is judged by. */
export interface PhaseEvidence {
  readonly phase: string;
  readonly records: readonly CallerRecord[];
  /** Runs that began in the phase. */
  readonly runs: readonly LedgerEntry[];
  readonly classes: readonly Class[];
  /** Epoch milliseconds. */
  readonly startedAt: number;
  readonly seconds: number;
}

interface Work {
  readonly class: string;
  /** Engine milliseconds within the phase. */
  readonly ms: number;
  readonly tokens: number;
  readonly useful: boolean;
  readonly timely: boolean;
}

/**
 * Sums a phase up. Only tokens within target are goodput; tokens of runs whose
 * answer did not reach its caller whole are wasted work, as a share of all.
 */
export function judgePhase(evidence: PhaseEvidence): PhaseFigures {
  const work = workOf(evidence);
  const total = sum(work.map((it) => it.ms));
  const capacity = SURGE_RUNNERS * evidence.seconds * 1_000;
  const timely = work.filter((it) => it.timely);
  const generated = sum(evidence.runs.map((it) => it.tokens));
  const useful = usefulIds(evidence.records);
  const lost = evidence.runs.filter((it) => !useful.has(it.requestId ?? ""));
  const incomplete: Record<string, number> = {};
  for (const { answer } of evidence.records) {
    if (answer.outcome === "complete") continue;
    const key = `${answer.outcome} ${answer.code ?? ""}`.trim();
    incomplete[key] = (incomplete[key] ?? 0) + 1;
  }
  return {
    phase: evidence.phase,
    classes: evidence.classes
      .filter((it) => evidence.records.some((r) => r.arrival.class === it.name))
      .map((it) => classFigures(it, { evidence, work, total, capacity })),
    goodput: sum(timely.map((it) => it.tokens)) / evidence.seconds,
    goodputOfCapacity: sum(timely.map((it) => it.ms)) / capacity,
    busy: total / capacity,
    wastedWork: generated === 0
      ? 0
      : sum(lost.map((it) => it.tokens)) / generated,
    incomplete,
  };
}

function usefulIds(records: readonly CallerRecord[]): ReadonlySet<string> {
  return new Set(
    records.filter(({ answer }) => answer.outcome === "complete")
      .map(({ answer }) => answer.requestId),
  );
}

/** What each run did within the phase, spread evenly over its time. */
function workOf(evidence: PhaseEvidence): readonly Work[] {
  const { startedAt, seconds } = evidence;
  const endsAt = startedAt + seconds * 1_000;
  const records = new Map(
    evidence.records.map((it) => [it.answer.requestId, it]),
  );
  const targets = new Map(evidence.classes.map((it) => [it.name, it]));
  return evidence.runs.filter((run) => run.model !== null).map((run) => {
    const record = records.get(run.requestId ?? "");
    const from = Math.max(run.startedAt, startedAt);
    const to = run.endedAt ?? endsAt;
    const inside = Math.max(0, Math.min(to, endsAt) - from);
    const share = inside / Math.max(1, to - run.startedAt);
    const name = record?.arrival.class ?? "";
    const target = targets.get(name)?.target ?? {};
    const useful = record?.answer.outcome === "complete";
    return {
      class: name,
      ms: share * engineMs({
        promptTokens: run.promptTokens,
        outputTokens: run.tokens,
      }),
      tokens: share * run.tokens,
      useful,
      timely: useful && record !== undefined &&
        attained(record, { class: name, ...target }),
    };
  });
}

function classFigures(
  given: Class,
  of: {
    readonly evidence: PhaseEvidence;
    readonly work: readonly Work[];
    readonly total: number;
    readonly capacity: number;
  },
): ClassFigures {
  const own = of.evidence.records.filter(({ arrival }) =>
    arrival.class === given.name
  );
  const target = { class: given.name, ...given.target };
  const firsts = own.filter(({ answer }) => answer.outcome === "complete")
    .map(firstTokenMs).filter((it) => it !== undefined);
  const served = sum(
    of.work.filter((it) => it.class === given.name && it.useful)
      .map((it) => it.ms),
  );
  const isModel = own[0]?.arrival.model !== undefined;
  const demanded = sum(own.map(({ arrival }) => engineMs(arrival)));
  const owed = Math.min(
    given.minimumShare,
    demanded / of.capacity,
  );
  const share = of.total === 0 ? 1 : served / of.total;
  return {
    class: given.name,
    sent: own.length,
    attainment: own.filter((it) => attained(it, target)).length / own.length,
    shed: own.filter(({ answer }) => answer.outcome === "not-run").length,
    p50FirstTokenMs: quantile(firsts, 0.5) ?? 0,
    p99FirstTokenMs: quantile(firsts, 0.99) ?? 0,
    serviceShare: !isModel || owed === 0 ? 1 : share / owed,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
