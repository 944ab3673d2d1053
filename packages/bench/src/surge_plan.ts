/**
 * What the surge experiment sends: phases by demand in proportion to capacity.
 *
 * @module
 */
import { type DeploymentName, findDeployment } from "@umbermast/testing";
import { type Arrival, arrivals, type Mix, type Phase } from "./arrivals.ts";
import { mixOf } from "./arrivals_mixes.ts";

/** Engines of the experiment: slow enough that one machine carries all of it. */
export const SURGE_ENGINE = {
  maxBatch: 16,
  baseStepMs: 6,
  stepMsPerSequence: 0.375,
  prefillMsPerToken: 0.02,
} as const;

/** Model runners of the experiment. */
export const SURGE_RUNNERS = 8;

/** What goes wrong in a phase. */
export type SurgeFault = "none" | "straggler" | "crash";

/** One phase with its demand. */
export interface SurgePhase {
  readonly name: string;
  /** Demand in proportion to capacity, by class; others share `rest`. */
  readonly demand: Readonly<Record<string, number>>;
  /** Demand of all other model classes together, in their usual proportion. */
  readonly rest: number;
  readonly fault: SurgeFault;
}

const CALM = 0.5;
const BUSY = 0.65;
const BESIDE = 0.25;
const LOW_BURST = 2;
const HIGH_BURST = 1.2;
const SAMPLE_SECONDS = 200;

/** Engine milliseconds that a request takes of a full batch. */
export function engineMs(
  request: Pick<Arrival, "promptTokens" | "outputTokens">,
): number {
  const { baseStepMs, stepMsPerSequence, maxBatch, prefillMsPerToken } =
    SURGE_ENGINE;
  const stepMs = baseStepMs + stepMsPerSequence * maxBatch;
  return request.outputTokens * stepMs / maxBatch +
    request.promptTokens * prefillMsPerToken;
}

/** The phases of a deployment, in order. */
export function surgePhases(
  deployment: DeploymentName,
): readonly SurgePhase[] {
  const { top, low } = classesOf(deployment);
  return [
    { name: "calm", demand: {}, rest: CALM, fault: "none" },
    {
      name: "low-burst",
      demand: { [low]: LOW_BURST },
      rest: BESIDE,
      fault: "none",
    },
    {
      name: "high-burst",
      demand: { [top]: HIGH_BURST },
      rest: BESIDE,
      fault: "none",
    },
    { name: "straggler", demand: {}, rest: BUSY, fault: "straggler" },
    { name: "crash", demand: {}, rest: BUSY, fault: "crash" },
  ];
}

/** The highest and the lowest class that the model service serves. */
export function classesOf(
  deployment: DeploymentName,
): { readonly top: string; readonly low: string } {
  const { classes, traffic } = findDeployment(deployment);
  const served = new Set(
    traffic.filter((it) => it.outputTokens !== undefined)
      .map((it) => it.class),
  );
  const ranked = classes.filter((it) => served.has(it.name))
    .sort((a, b) => a.tier - b.tier);
  return { top: ranked[0]?.name ?? "", low: ranked.at(-1)?.name ?? "" };
}

/** Mean engine milliseconds a second of each class at the mix's usual rate. */
function usualDemand(mix: Mix): ReadonlyMap<string, number> {
  const sample = arrivals(mix, {
    seed: 0,
    phases: [{ name: "sample", seconds: SAMPLE_SECONDS, factor: 1 }],
  });
  const demand = new Map<string, number>();
  for (const arrival of sample) {
    if (arrival.model === undefined) continue;
    const known = demand.get(arrival.class) ?? 0;
    demand.set(arrival.class, known + engineMs(arrival) / SAMPLE_SECONDS);
  }
  return demand;
}

/** The arrivals of one phase; the same for every policy. */
export function surgeArrivals(
  deployment: DeploymentName,
  phase: SurgePhase,
  options: { readonly seed: number; readonly seconds: number },
): readonly Arrival[] {
  const mix = mixOf(deployment);
  const usual = usualDemand(mix);
  const capacity = SURGE_RUNNERS * 1_000;
  const others = [...usual].filter(([name]) => !(name in phase.demand));
  const rest = others.reduce((sum, [, ms]) => sum + ms, 0);
  const factors: Record<string, number> = {};
  for (const [name] of others) factors[name] = phase.rest * capacity / rest;
  for (const [name, share] of Object.entries(phase.demand)) {
    factors[name] = share * capacity / (usual.get(name) ?? capacity);
  }
  const timed: Phase = {
    name: phase.name,
    seconds: options.seconds,
    factor: 1,
    factors,
  };
  return arrivals(mix, {
    seed: options.seed * 100 + phase.name.length,
    phases: [timed],
  });
}
