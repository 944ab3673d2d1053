/**
 * Which engine is to load or unload which model.
 *
 * @module
 */
import type { EngineOrder } from "./placement_order.ts";

/** What is known of an engine in this round. */
export interface EngineState {
  readonly runner: string;
  /** Models that it holds for certain. */
  readonly models: ReadonlySet<string>;
  /** Models that it has been ordered to load. */
  readonly loading: ReadonlySet<string>;
  /** Models that it refused a short while ago. */
  readonly refused: ReadonlySet<string>;
  /** Requests in it. */
  readonly requests: number;
}

/** Copies wanted of a model. */
export interface DesiredCopies {
  readonly model: string;
  readonly copies: number;
}

/** A decision with what it was chosen from. */
export interface PlacementDecision extends EngineOrder {
  readonly runner: string;
  readonly runnersUp: readonly string[];
  readonly reason: string;
}

/**
 * Decides at most one order for each model.
 *
 * A copy is unloaded only where another model stays, since an engine without a
 * model serves nobody, and only while another engine certainly holds it.
 *
 * @param engines live engines whose state is known in this round; one that is
 * leaving or silent is no copy to rely on.
 */
export function planPlacement(
  desired: readonly DesiredCopies[],
  engines: readonly EngineState[],
): readonly PlacementDecision[] {
  const decisions: PlacementDecision[] = [];
  let states = engines;
  for (const target of desired) {
    const decision = decide(target, states);
    if (decision === undefined) continue;
    decisions.push(decision);
    // Two models' decisions must not empty one engine between them.
    states = states.map((state) => applyDecision(state, decision));
  }
  return decisions;
}

/** The state to decide from once an order is given. */
function applyDecision(
  state: EngineState,
  decision: PlacementDecision,
): EngineState {
  if (state.runner !== decision.runner) return state;
  const { model, order } = decision;
  if (order === "load") {
    return { ...state, loading: new Set([...state.loading, model]) };
  }
  const models = [...state.models].filter((held) => held !== model);
  return { ...state, models: new Set(models) };
}

function decide(
  { model, copies }: DesiredCopies,
  engines: readonly EngineState[],
): PlacementDecision | undefined {
  const holders = engines.filter(({ models }) => models.has(model));
  const loading = engines.filter(({ loading }) => loading.has(model));
  const present = holders.length + loading.length;
  const figures =
    `wanted=${copies} holding=${holders.length} loading=${loading.length}`;
  if (present < copies) {
    const eligible = engines.filter((engine) => canLoad(engine, model));
    return toDecision(
      { order: "load", model },
      eligible.sort(byFewestModels),
      figures,
    );
  }
  // A copy that is still loading may fail, so it is none to rely on.
  const hasSurplus = holders.length > copies && holders.length > 1;
  if (!hasSurplus) return undefined;
  const removable = holders.filter(({ models }) => models.size > 1);
  return toDecision(
    { order: "unload", model },
    removable.sort(byMostModels),
    figures,
  );
}

function toDecision(
  order: EngineOrder,
  candidates: readonly EngineState[],
  reason: string,
): PlacementDecision | undefined {
  const [first, ...others] = candidates.map(({ runner }) => runner);
  if (first === undefined) return undefined;
  const runnersUp = others.slice(0, MAX_RUNNERS_UP);
  return { ...order, runner: first, runnersUp, reason };
}

/** Runners-up named in a decision's log line. */
const MAX_RUNNERS_UP = 3;

function canLoad(engine: EngineState, model: string): boolean {
  return !engine.models.has(model) && !engine.loading.has(model) &&
    !engine.refused.has(model);
}

function byFewestModels(one: EngineState, other: EngineState): number {
  return modelCount(one) - modelCount(other) ||
    one.requests - other.requests || byName(one, other);
}

function byMostModels(one: EngineState, other: EngineState): number {
  return modelCount(other) - modelCount(one) ||
    one.requests - other.requests || byName(one, other);
}

function modelCount({ models, loading }: EngineState): number {
  return models.size + loading.size;
}

function byName(one: EngineState, other: EngineState): number {
  return one.runner < other.runner ? -1 : 1;
}
