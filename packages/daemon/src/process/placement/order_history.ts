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
const REFUSAL_RETENTION_MS = 120_000;

/** What an engine reports of itself. */
export interface EngineReport {
  readonly models: readonly string[];
  readonly requests: number;
  readonly leaving: boolean;
}

interface RecentOrder {
  readonly effect: "loading" | "unloaded" | "refused";
  readonly until: number;
}

/**
 * Corrects reports by the orders given since. A report that still lists a model
 * which was just unloaded would count as another copy, and the last true copy
 * would be unloaded on its word.
 */
export class OrderHistory {
  readonly #clock: Clock;
  readonly #reportLagMs: number;
  readonly #recentOrders = new Map<string, Map<string, RecentOrder>>();

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
  record(runner: Runner, order: EngineOrder, outcome: OrderOutcome): void {
    const effect = effectOf(order, outcome);
    if (effect === undefined) return;
    const key = keyOf(runner);
    const orders = this.#recentOrders.get(key) ??
      new Map<string, RecentOrder>();
    const retentionMs = effect === "refused"
      ? REFUSAL_RETENTION_MS
      : this.#reportLagMs;
    const until = this.#clock.monotonic() + retentionMs;
    orders.set(order.model, { effect, until });
    this.#recentOrders.set(key, orders);
  }

  /** The engine's state: its report, corrected. */
  stateOf(runner: Runner, report: EngineReport): EngineState {
    const now = this.#clock.monotonic();
    const orders = this.#recentOrders.get(keyOf(runner)) ??
      new Map<string, RecentOrder>();
    const recentModels = (effect: RecentOrder["effect"]) =>
      new Set(
        [...orders].filter(([, given]) =>
          given.effect === effect && given.until > now
        ).map(([model]) => model),
      );
    const unloaded = recentModels("unloaded");
    const reported = new Set(report.models);
    return {
      runner: runner.name,
      models: new Set(report.models.filter((model) => !unloaded.has(model))),
      loading: new Set(
        [...recentModels("loading")].filter((model) => !reported.has(model)),
      ),
      refused: recentModels("refused"),
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
): RecentOrder["effect"] | undefined {
  if (_tag === "NotSent" || _tag === "Stale") return undefined;
  if (_tag === "Refused") return order === "load" ? "refused" : undefined;
  // An unload of unknown outcome may have been taken: the copy is not counted.
  return order === "load" ? "loading" : "unloaded";
}
