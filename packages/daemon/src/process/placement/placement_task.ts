/**
 * The placement task of one service, which keeps its models loaded on engines
 * according to demand.
 *
 * @module
 */
import type { Clock, Tenure } from "@umbermast/coordination";
import type { Service } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type { Log } from "../log.ts";
import type { Runner } from "../runner.ts";
import type { DemandReader } from "./placement_demand.ts";
import { OrderHistory } from "./order_history.ts";
import { MAX_SEND_MS } from "./placement_order.ts";
import type { EngineOrders, OrderLease } from "./placement_order.ts";
import { planPlacement } from "./placement_plan.ts";
import type { EngineState, PlacementDecision } from "./placement_plan.ts";
import type { EngineReports } from "./placement_reports.ts";
import { CopyTargets } from "./placement_targets.ts";

const DEFAULT_INTERVAL_MS = 10_000;
const DEFAULT_REPORT_LAG_MS = 30_000;
const REPORT_CONCURRENCY = 16;

/** Dependencies and options of a placement task. */
export interface PlacementDependencies {
  readonly service: string;
  readonly lease: OrderLease;
  readonly orders: EngineOrders;
  readonly reports: EngineReports;
  readonly demand: DemandReader;
  readonly clock: Clock;
  readonly log: Log;
  /** The service in the current table; `undefined` if the table has none. */
  readonly definition: () => Service | undefined;
  /** The service's runners, as listed by the platform. */
  readonly runners: () => readonly Runner[];
  /** Milliseconds between two rounds; 10,000 by default. */
  readonly intervalMs?: number;
  /** Maximum time until a report reflects an order; 30,000 by default. */
  readonly reportLagMs?: number;
}

/** State of a lease holder, kept for as long as it holds the lease. */
interface LeaseTerm {
  readonly tenure: Tenure;
  readonly orderHistory: OrderHistory;
  readonly targets: CopyTargets;
}

/**
 * Adapts the placement of a service's models to demand, in these steps:
 *
 * 1. Acquire the lease.
 * 2. Wait until the previous holder's orders have taken effect and are visible:
 *    its longest possible send plus the lag of the reports.
 * 3. In rounds, read the reports of all engines and the demand of all daemons,
 *    plan, and send the orders, each checked against the remaining tenure.
 * 4. Stop when the lease is lost or an engine reports a higher fencing token.
 *
 * Each round starts from the engines' reports. The next round therefore corrects
 * an order that was lost or that a previous holder's network delivered late.
 */
export class PlacementTask {
  readonly #dependencies: PlacementDependencies;

  constructor(dependencies: PlacementDependencies) {
    this.#dependencies = dependencies;
  }

  /** Runs until it is interrupted. */
  run(): Effect.Effect<never> {
    const { lease } = this.#dependencies;
    return Effect.forever(lease.hold((tenure) => this.#runTerm(tenure)));
  }

  #runTerm(tenure: Tenure): Effect.Effect<void> {
    const { clock, log, service, intervalMs } = this.#dependencies;
    const reportLagMs = this.#dependencies.reportLagMs ?? DEFAULT_REPORT_LAG_MS;
    const { fencing } = tenure;
    const term: LeaseTerm = {
      tenure,
      orderHistory: new OrderHistory(clock, { reportLagMs }),
      targets: new CopyTargets(),
    };
    return Effect.gen({ self: this }, function* () {
      log.event("placement_lease_held", { service, fencing });
      yield* Effect.sleep(MAX_SEND_MS + reportLagMs);
      while (tenure.remainingMs() > 0) {
        const isLast = yield* this.#runRound(term);
        if (isLast) break;
        yield* Effect.sleep(intervalMs ?? DEFAULT_INTERVAL_MS);
      }
    }).pipe(
      // This effect is interrupted when the lease is lost.
      Effect.ensuring(
        Effect.sync(() =>
          log.event("placement_lease_ended", { service, fencing })
        ),
      ),
    );
  }

  /** Runs one round; true if it must be the last. */
  #runRound(term: LeaseTerm): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const definition = this.#dependencies.definition();
      // The service was removed from the table: release the lease.
      if (definition?.kind !== "model") return true;
      const engines = yield* this.#readEngines(term);
      const desired = yield* this.#desiredCopies(term, { definition, engines });
      for (const decision of planPlacement(desired, engines)) {
        const superseded = yield* this.#sendOrder(term, decision);
        if (superseded) return true;
      }
      return false;
    });
  }

  #readEngines(term: LeaseTerm): Effect.Effect<readonly EngineState[]> {
    const { reports, runners } = this.#dependencies;
    const live = runners().filter(({ state }) => state === "live");
    const states = Effect.forEach(
      live,
      (runner) =>
        Effect.map(reports.read(runner), (report) => {
          if (report === undefined || report.leaving) return [];
          return [term.orderHistory.stateOf(runner, report)];
        }),
      { concurrency: REPORT_CONCURRENCY },
    );
    return Effect.map(states, (engines) => engines.flat());
  }

  #desiredCopies(
    term: LeaseTerm,
    round: {
      readonly definition: Service;
      readonly engines: readonly EngineState[];
    },
  ) {
    const { slotsPerRunner, models } = round.definition;
    return Effect.map(
      this.#dependencies.demand.read(),
      ({ requests, hasQuorum }) =>
        models.map((model) => {
          const holders = round.engines.filter((engine) =>
            engine.models.has(model)
          );
          const copies = term.targets.update({
            model,
            requests: requests.get(model) ?? 0,
            copies: holders.length,
            hasQuorum,
          }, { slotsPerRunner });
          return { model, copies };
        }),
    );
  }

  #sendOrder(
    term: LeaseTerm,
    decision: PlacementDecision,
  ): Effect.Effect<boolean> {
    const { log, orders, runners, service } = this.#dependencies;
    const { model, order, reason, runnersUp } = decision;
    const runner = runners().find(({ name }) => name === decision.runner);
    if (runner === undefined) return Effect.succeed(false);
    const { orderHistory, tenure } = term;
    return Effect.map(
      orders.send(runner, { order, model }, { tenure }),
      (outcome) => {
        orderHistory.record(runner, decision, outcome);
        log.event("placement_decision", {
          service,
          order,
          model,
          chosen: runner.name,
          runnersUp: runnersUp.join(","),
          why: reason,
          fencing: tenure.fencing,
          outcome: outcome._tag,
        });
        return outcome._tag === "Stale";
      },
    );
  }
}
