/**
 * When which fault strikes, drawn from a seed.
 *
 * @module
 */
import { seededRandom } from "@umbermast/testing";

/** Faults that strike, and how long each holds at full scale, in seconds. */
const HOLD_S = {
  "daemon-kill": 4,
  "daemon-stop": 12,
  "daemon-leave": 6,
  "runner-crash": 4,
  straggler: 8,
  "runner-leaving": 8,
  "store-down": 20,
  "store-slow": 8,
  "store-lose-reply": 8,
  "runner-link-silent": 4,
  "caller-link-silent": 4,
  "answers-reordered": 4,
  "hosts-frozen": 8,
} as const;

/** Name of a fault. */
export type FaultKind = keyof typeof HOLD_S;

/** A stretch of traffic with the faults that strike in it. */
export interface Slot {
  /** Its faults' names, joined; `none` for the calm one. */
  readonly name: string;
  readonly faults: readonly FaultKind[];
  /** How long each fault holds. */
  readonly holdS: number;
  /** Traffic is sent for so long; faults strike after the lead. */
  readonly seconds: number;
}

/** Calm traffic before a fault, and after it, in seconds. */
export const LEAD_S = 1;
const TAIL_S = 3;

/** All faults. */
export const FAULT_KINDS = Object.keys(HOLD_S) as readonly FaultKind[];

/**
 * One slot without faults, one for each fault alone, then pairs in a seeded
 * order until the time is used up.
 *
 * @param options.scale shortens every hold; a fault that must outlast a lease
 * shows less below 1.
 */
export function schedule(options: {
  readonly seed: number;
  readonly seconds: number;
  readonly scale: number;
}): readonly Slot[] {
  const { seed, seconds, scale } = options;
  const slots = [
    slot([], scale),
    ...FAULT_KINDS.map((kind) => slot([kind], scale)),
  ];
  let used = slots.reduce((sum, each) => sum + each.seconds, 0);
  for (const pair of shuffled(pairs(), seed)) {
    const next = slot(pair, scale);
    if (used + next.seconds > seconds) break;
    used += next.seconds;
    slots.push(next);
  }
  return slots;
}

function slot(faults: readonly FaultKind[], scale: number): Slot {
  const holdS = scale * Math.max(1, ...faults.map((kind) => HOLD_S[kind]));
  return {
    name: faults.length === 0 ? "none" : faults.join("+"),
    faults,
    holdS,
    seconds: LEAD_S + holdS + TAIL_S,
  };
}

function pairs(): readonly (readonly FaultKind[])[] {
  return FAULT_KINDS.flatMap((first, at) =>
    FAULT_KINDS.slice(at + 1).map((second) => [first, second])
  );
}

function shuffled<A>(items: readonly A[], seed: number): readonly A[] {
  const random = seededRandom(`faults/${seed}`);
  return items
    .map((item) => ({ item, place: random() }))
    .sort((a, b) => a.place - b.place)
    .map(({ item }) => item);
}
