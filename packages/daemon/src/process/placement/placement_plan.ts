/**
 * Planning of the orders to engines to load and unload models.
 *
 * @module
 */
import type { EngineOrder } from "./placement_order.ts";

/** State of an engine in one round. */
export interface EngineState {
  readonly runner: string;
  /** Models that are certainly loaded. */
  readonly models: ReadonlySet<string>;
  /** Models that the engine has been ordered to load. */
  readonly loading: ReadonlySet<string>;
  /** Models that the engine refused recently. */
  readonly refused: ReadonlySet<string>;
  /** Requests running or queued in the engine. */
  readonly requests: number;
}

/** Desired number of copies of a model. */
export interface DesiredCopies {
  readonly model: string;
  readonly copies: number;
}

/** An order for an engine, with the reason and the runners-up. */
export interface PlacementDecision extends EngineOrder {
  readonly runner: string;
  readonly runnersUp: readonly string[];
  readonly reason: string;
}

/**
 * Plans at most one order for each model.
 *
 * A copy is unloaded only from an engine that keeps another model, since an
 * engine without a model serves no requests, and only while another engine
 * certainly holds the model.
 *
 * @param engines live engines whose state is known in this round. Engines that
 * are leaving or unresponsive are excluded, as their copies are not reliable.
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
    // Decisions for two models must not together unload all models of one engine.
    states = states.map((state) => applyDecision(state, decision));
  }
  return decisions;
}

/** The state of an engine after a decision, for the following decisions. */
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
  const total = holders.length + loading.length;
  const reason =
    `wanted=${copies} holding=${holders.length} loading=${loading.length}`;
  if (total < copies) {
    const eligible = engines.filter((engine) => canLoad(engine, model));
    return toDecision(
      { order: "load", model },
      eligible.sort(byFewestModels),
      reason,
    );
  }
  // A copy that is still loading may fail, so it does not count as a surplus.
  const hasSurplus = holders.length > copies && holders.length > 1;
  if (!hasSurplus) return undefined;
  const removable = holders.filter(({ models }) => models.size > 1);
  return toDecision(
    { order: "unload", model },
    removable.sort(byMostModels),
    reason,
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

/** Number of runners-up in a decision's log line. */
const MAX_RUNNERS_UP = 3;

function canLoad(engine: EngineState, model: string): boolean {
  return !engine.models.has(model) && !engine.loading.has(model) &&
    !engine.refused.has(model);
}

function byFewestModels(left: EngineState, right: EngineState): number {
  return modelCount(left) - modelCount(right) ||
    left.requests - right.requests || byName(left, right);
}

function byMostModels(left: EngineState, right: EngineState): number {
  return modelCount(right) - modelCount(left) ||
    left.requests - right.requests || byName(left, right);
}

function modelCount({ models, loading }: EngineState): number {
  return models.size + loading.size;
}

function byName(left: EngineState, right: EngineState): number {
  return left.runner < right.runner ? -1 : 1;
}
