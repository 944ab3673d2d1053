/**
 * Reports ended requests to the metrics.
 *
 * @module
 */
import type { Metrics } from "../process/metrics.ts";
import type { Call, CallResult, Problem } from "./call.ts";
import type { RequestObserver } from "./caller_requests.ts";

function outcomeOf(result: CallResult): string {
  if (result._tag === "Complete") return "complete";
  if (result._tag === "CallerLeft") return "caller-left";
  return result.problem.outcome;
}

/** Reports results, refusals and dropped connections to the metrics. */
export class RequestMetrics implements RequestObserver {
  readonly #metrics: Metrics;

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  callEnded(
    call: Call,
    options: {
      readonly result: CallResult;
      readonly headersSentAt: number | undefined;
    },
  ): void {
    const { headersSentAt, result } = options;
    this.#metrics.requestEnded({
      class: call.class,
      service: call.service,
      outcome: outcomeOf(result),
      durationMs: Date.now() - call.arrivedAt,
      ...(headersSentAt === undefined
        ? {}
        : { answerMs: headersSentAt - call.arrivedAt }),
    });
  }

  requestRefused(problem: Problem): void {
    this.#metrics.requestRefused(problem.code);
  }

  connectionDropped(): void {
    this.#metrics.connectionDropped();
  }
}
