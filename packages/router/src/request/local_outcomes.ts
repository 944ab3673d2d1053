/**
 * Outcomes that this daemon determines when it relays no runner's response.
 *
 * @module
 */
import type { Quarantine } from "../process/crash_record.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import {
  overloadRefusal,
  quarantineRefusal,
  unavailableRefusal,
} from "./refusals.ts";
import type { Outcome } from "./outcome.ts";
import type { Progress } from "./progress.ts";

/** Determines the outcome of one request: refused, failed or timed out. */
export class LocalOutcomes {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;

  constructor(daemon: Daemon, caller: Caller, progress: Progress) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = progress;
  }

  /**
   * Returns the outcome when no runner accepted the request.
   *
   * @param code reason of the refusal.
   */
  refusal(code: string): Outcome {
    if (this.#progress.mayHaveRun) return this.failure(code);
    const refusal = unavailableRefusal(code, this.#daemon.random());
    return { kind: "refused", refusal };
  }

  /**
   * Returns the outcome when no runner is left to try. A later attempt does no better
   * if the runners of a stream's software version are gone.
   */
  noRunner(): Outcome {
    const { origin, mayHaveRun, triedRunners, unconfirmedRunners } =
      this.#progress;
    const gone = origin !== undefined &&
      triedRunners.size + unconfirmedRunners.size === 0;
    if (!gone || mayHaveRun) return this.refusal("no_runner");
    const refusal = { status: 503, code: "version_unavailable" };
    return { kind: "refused", refusal };
  }

  /** Returns the outcome when all runners that were tried refused the request. */
  runnersFull(): Outcome {
    const { returning, mayHaveRun } = this.#progress;
    if (returning === undefined || mayHaveRun) {
      return this.refusal("runner_full");
    }
    return { kind: "refused", refusal: returning.refusal("runner_full") };
  }

  /** Returns the outcome when no runner had capacity for the request. */
  overload(): Outcome {
    const { remainingMs, returning } = this.#progress;
    if (returning !== undefined) {
      return { kind: "refused", refusal: returning.refusal("overloaded") };
    }
    const refusal = overloadRefusal(remainingMs, this.#daemon.random());
    return { kind: "refused", refusal };
  }

  /** Returns the outcome when runners crashed while running the request. */
  quarantine({ leftMs }: Quarantine): Outcome {
    if (this.#progress.mayHaveRun) return this.failure("quarantined");
    return { kind: "refused", refusal: quarantineRefusal(leftMs) };
  }

  /**
   * Returns the outcome when the request may have run and there is no complete
   * response.
   */
  failure(reason: string): Outcome {
    if (this.#caller.headersSent) return { kind: "broken", reason };
    return { kind: "refused", refusal: { status: 502, code: "runner_failed" } };
  }

  /**
   * Returns the outcome when there was no room for a response that had not begun
   * to be relayed. The request has run.
   */
  answerCut(): Outcome {
    const refusal = { status: 502, code: "answer_cut", close: true };
    return { kind: "refused", refusal };
  }

  /** Returns the outcome when the open requests leave no room for this one. */
  tooMany(): Outcome {
    const code = "too_many_requests";
    const refusal = unavailableRefusal(code, this.#daemon.random());
    // Its body, which may never end, would keep the request.
    return { kind: "refused", refusal: { ...refusal, close: true } };
  }

  /** Returns the outcome when there is no room for the request's body. */
  buffersFull(): Outcome {
    const refusal = unavailableRefusal("buffers_full", this.#daemon.random());
    // The rest of the body may be arriving.
    return { kind: "refused", refusal: { ...refusal, close: true } };
  }

  /** Returns the outcome when the time for the final response has expired. */
  expiry(): Outcome {
    const { mayHaveRun, attempts, expiry = "timeout" } = this.#progress;
    if (!mayHaveRun && attempts === 0) return this.refusal(expiry);
    const status = expiry === "timeout" ? 504 : 502;
    return { kind: "refused", refusal: { status, code: expiry } };
  }
}
