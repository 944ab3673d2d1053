/**
 * Counts requests as they end.
 *
 * @module
 */
import type { Metrics } from "../process/metrics.ts";
import type { Call, Ending, Problem } from "./call.ts";
import type { RequestObserver } from "./caller_requests.ts";

function outcomeOf(ending: Ending): string {
  if (ending._tag === "Complete") return "complete";
  if (ending._tag === "CallerLeft") return "caller-left";
  return ending.problem.outcome;
}

/** Passes the ends of requests to the metrics. */
export class RequestMetrics implements RequestObserver {
  readonly #metrics: Metrics;

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  ended(
    call: Call,
    options: { readonly ending: Ending; readonly answerAt: number | undefined },
  ): void {
    const { answerAt, ending } = options;
    this.#metrics.requestEnded({
      class: call.class,
      service: call.service,
      outcome: outcomeOf(ending),
      durationMs: Date.now() - call.arrivedAt,
      ...(answerAt === undefined
        ? {}
        : { answerMs: answerAt - call.arrivedAt }),
    });
  }

  refused(problem: Problem): void {
    this.#metrics.requestRefused(problem.code);
  }

  dropped(): void {
    this.#metrics.connectionDropped();
  }
}
