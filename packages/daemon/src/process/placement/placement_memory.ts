/**
 * Orders given lately, which load reports do not show yet.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";
import type { Runner } from "../runner.ts";
import type { EngineOrder, OrderOutcome } from "./placement_order.ts";
import type { EngineState } from "./placement_plan.ts";

/** How long a refused model is not tried again at the same engine. */
const REFUSED_MS = 120_000;

/** What an engine reports of itself. */
export interface EngineReport {
  readonly models: readonly string[];
  readonly requests: number;
  readonly leaving: boolean;
}

interface Given {
  readonly effect: "loading" | "unloaded" | "refused";
  readonly until: number;
}

/**
 * Corrects reports by the orders given since. A report that still lists a model
 * which was just unloaded would count as another copy, and the last true copy
 * would be unloaded on its word.
 */
export class PlacementMemory {
  readonly #clock: Clock;
  readonly #reportLagMs: number;
  readonly #given = new Map<string, Map<string, Given>>();

  constructor(
    clock: Clock,
    options: {
      /** Longest time until a report shows an order, a load included. */
      readonly reportLagMs: number;
    },
  ) {
    this.#clock = clock;
    this.#reportLagMs = options.reportLagMs;
  }

  /** Notes an order and what came of it. */
  note(runner: Runner, order: EngineOrder, outcome: OrderOutcome): void {
    const effect = effectOf(order, outcome);
    if (effect === undefined) return;
    const key = keyOf(runner);
    const orders = this.#given.get(key) ?? new Map<string, Given>();
    const lastsMs = effect === "refused" ? REFUSED_MS : this.#reportLagMs;
    const until = this.#clock.monotonic() + lastsMs;
    orders.set(order.model, { effect, until });
    this.#given.set(key, orders);
  }

  /** The engine's state: its report, corrected. */
  stateOf(runner: Runner, report: EngineReport): EngineState {
    const now = this.#clock.monotonic();
    const orders = this.#given.get(keyOf(runner)) ?? new Map<string, Given>();
    const lately = (effect: Given["effect"]) =>
      new Set(
        [...orders].filter(([, given]) =>
          given.effect === effect && given.until > now
        ).map(([model]) => model),
      );
    const unloaded = lately("unloaded");
    const reported = new Set(report.models);
    return {
      runner: runner.name,
      models: new Set(report.models.filter((model) => !unloaded.has(model))),
      loading: new Set(
        [...lately("loading")].filter((model) => !reported.has(model)),
      ),
      refused: lately("refused"),
      requests: report.requests,
    };
  }
}

/** A restarted engine has forgotten its orders, so they are kept by incarnation. */
function keyOf({ name, incarnation }: Runner): string {
  return `${name}/${incarnation}`;
}

function effectOf(
  { order }: EngineOrder,
  { _tag }: OrderOutcome,
): Given["effect"] | undefined {
  if (_tag === "NotSent" || _tag === "Stale") return undefined;
  if (_tag === "Refused") return order === "load" ? "refused" : undefined;
  // An unload of unknown outcome may have been taken: the copy is not counted.
  return order === "load" ? "loading" : "unloaded";
}
