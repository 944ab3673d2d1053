/**
 * Medians over seeds, and figures over all phases.
 *
 * @module
 */
import { quantile } from "./report.ts";
import type { ClassFigures, PhaseFigures } from "./surge_judge.ts";

/** Figures of one policy over all phases. */
export interface PolicyFigures {
  /** Worst phase's attainment, by class. */
  readonly attainment: Readonly<Record<string, number>>;
  /** Mean of the phases, in tokens a second. */
  readonly goodput: number;
  readonly goodputOfCapacity: number;
  /** Worst phase but the crash. */
  readonly wastedWork: number;
  /** Worst phase's share over the lesser of minimum share and demand, by class. */
  readonly minServiceShare: Readonly<Record<string, number>>;
  readonly shed: Readonly<Record<string, number>>;
  readonly p99FirstTokenMs: Readonly<Record<string, number>>;
}

/** Median of each figure over the seeds. */
export function medianOf(
  seeds: readonly (readonly PhaseFigures[])[],
): readonly PhaseFigures[] {
  const first = seeds[0] ?? [];
  return first.map((phase, index) => {
    const same = seeds.map((it) => it[index]).filter((it) => it !== undefined);
    const median = (read: (it: PhaseFigures) => number) => mid(same.map(read));
    return {
      phase: phase.phase,
      classes: phase.classes.map((it) => medianClass(it, same)),
      goodput: median((it) => it.goodput),
      goodputOfCapacity: median((it) => it.goodputOfCapacity),
      busy: median((it) => it.busy),
      wastedWork: median((it) => it.wastedWork),
      incomplete: phase.incomplete,
    };
  });
}

function medianClass(
  first: ClassFigures,
  phases: readonly PhaseFigures[],
): ClassFigures {
  const same = phases.flatMap((it) =>
    it.classes.filter((other) => other.class === first.class)
  );
  const median = (read: (it: ClassFigures) => number) => mid(same.map(read));
  return {
    class: first.class,
    sent: median((it) => it.sent),
    attainment: median((it) => it.attainment),
    shed: median((it) => it.shed),
    p50FirstTokenMs: median((it) => it.p50FirstTokenMs),
    p99FirstTokenMs: median((it) => it.p99FirstTokenMs),
    serviceShare: median((it) => it.serviceShare),
  };
}

/** Brings the phases together. */
export function summarise(phases: readonly PhaseFigures[]): PolicyFigures {
  const least = (read: (it: ClassFigures) => number) =>
    byClass(phases, read, Math.min);
  const most = (read: (it: ClassFigures) => number) =>
    byClass(phases, read, Math.max);
  const mean = (read: (it: PhaseFigures) => number) =>
    phases.reduce((sum, it) => sum + read(it), 0) / Math.max(1, phases.length);
  const sound = phases.filter((it) => it.phase !== "crash");
  return {
    attainment: least((it) => it.attainment),
    goodput: mean((it) => it.goodput),
    goodputOfCapacity: mean((it) => it.goodputOfCapacity),
    wastedWork: Math.max(0, ...sound.map((it) => it.wastedWork)),
    minServiceShare: least((it) => it.serviceShare),
    shed: byClass(phases, (it) => it.shed, (a, b) => a + b),
    p99FirstTokenMs: most((it) => it.p99FirstTokenMs),
  };
}

/** Brings deployments together; their classes have different names. */
export function mergeSummaries(
  figures: readonly PolicyFigures[],
): PolicyFigures {
  const join = (
    read: (it: PolicyFigures) => Readonly<Record<string, number>>,
  ) =>
    Object.assign({}, ...figures.map(read)) as Readonly<Record<string, number>>;
  const least = (read: (it: PolicyFigures) => number) =>
    Math.min(...figures.map(read));
  return {
    attainment: join((it) => it.attainment),
    goodput: least((it) => it.goodput),
    goodputOfCapacity: least((it) => it.goodputOfCapacity),
    wastedWork: Math.max(...figures.map((it) => it.wastedWork)),
    minServiceShare: join((it) => it.minServiceShare),
    shed: join((it) => it.shed),
    p99FirstTokenMs: join((it) => it.p99FirstTokenMs),
  };
}

function byClass(
  phases: readonly PhaseFigures[],
  read: (it: ClassFigures) => number,
  join: (a: number, b: number) => number,
): Readonly<Record<string, number>> {
  const joined: Record<string, number> = {};
  for (const phase of phases) {
    for (const it of phase.classes) {
      const known = joined[it.class];
      const value = read(it);
      joined[it.class] = known === undefined ? value : join(known, value);
    }
  }
  return joined;
}

function mid(values: readonly number[]): number {
  return quantile(values, 0.5) ?? 0;
}
