/**
 * History of recent orders that load reports do not reflect yet.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";
import type { Runner } from "../runner.ts";
import type { EngineOrder, OrderOutcome } from "./placement_order.ts";
import type { EngineState } from "./placement_plan.ts";

/** Time for which a refused model is not ordered again at the same engine. */
const REFUSAL_RETENTION_MS = 120_000;

/** The models and load that an engine reports. */
export interface EngineReport {
  readonly models: readonly string[];
  readonly requests: number;
  readonly leaving: boolean;
}

interface RecentOrder {
  readonly effect: "loading" | "unloaded" | "refused";
  readonly expiresAt: number;
}

/**
 * Corrects reports by recent orders. A stale report may still list a model that
 * was just unloaded; counting it as a copy would cause the last actual copy to be
 * unloaded.
 */
export class OrderHistory {
  readonly #clock: Clock;
  readonly #reportLagMs: number;
  readonly #recentOrders = new Map<string, Map<string, RecentOrder>>();

  constructor(
    clock: Clock,
    options: {
      /** Maximum time until a report reflects an order, including a load. */
      readonly reportLagMs: number;
    },
  ) {
    this.#clock = clock;
    this.#reportLagMs = options.reportLagMs;
  }

  /** Records an order and its outcome. */
  record(runner: Runner, order: EngineOrder, outcome: OrderOutcome): void {
    const effect = effectOf(order, outcome);
    if (effect === undefined) return;
    const key = keyOf(runner);
    const orders = this.#recentOrders.get(key) ??
      new Map<string, RecentOrder>();
    const retentionMs = effect === "refused"
      ? REFUSAL_RETENTION_MS
      : this.#reportLagMs;
    const expiresAt = this.#clock.monotonic() + retentionMs;
    orders.set(order.model, { effect, expiresAt });
    this.#recentOrders.set(key, orders);
  }

  /** The state of an engine: its report, corrected by recent orders. */
  stateOf(runner: Runner, report: EngineReport): EngineState {
    const now = this.#clock.monotonic();
    const orders = this.#recentOrders.get(keyOf(runner)) ??
      new Map<string, RecentOrder>();
    const recentModels = (effect: RecentOrder["effect"]) =>
      new Set(
        [...orders].filter(([, order]) =>
          order.effect === effect && order.expiresAt > now
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

/** Orders are kept by incarnation, since a restarted engine has lost their effect. */
function keyOf({ name, incarnation }: Runner): string {
  return `${name}/${incarnation}`;
}

function effectOf(
  { order }: EngineOrder,
  { _tag }: OrderOutcome,
): RecentOrder["effect"] | undefined {
  if (_tag === "NotSent" || _tag === "Stale") return undefined;
  if (_tag === "Refused") return order === "load" ? "refused" : undefined;
  // An unload with unknown outcome may have been accepted: the copy is not counted.
  return order === "load" ? "loading" : "unloaded";
}
