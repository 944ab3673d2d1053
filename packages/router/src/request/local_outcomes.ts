/**
 * Outcomes that are this daemon's own, when no runner's answer is passed on.
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

/** Says of one request what is true of it: not run, failed, or out of time. */
export class LocalOutcomes {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;

  constructor(daemon: Daemon, caller: Caller, progress: Progress) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = progress;
  }

  /** It was sent to nobody who took it, for the reason given. */
  refusal(code: string): Outcome {
    if (this.#progress.mayHaveRun) return this.failure(code);
    const refusal = unavailableRefusal(code, this.#daemon.random());
    return { kind: "refused", refusal };
  }

  /** No runner had room for it. */
  overload(): Outcome {
    const { remainingMs: leftMs } = this.#progress;
    const refusal = overloadRefusal(leftMs, this.#daemon.random());
    return { kind: "refused", refusal };
  }

  /** Runners end that run it. */
  quarantine({ leftMs }: Quarantine): Outcome {
    if (this.#progress.mayHaveRun) return this.failure("quarantined");
    return { kind: "refused", refusal: quarantineRefusal(leftMs) };
  }

  /** It may have run, and there is no whole answer. */
  failure(reason: string): Outcome {
    if (this.#caller.headersSent) return { kind: "broken", reason };
    return { kind: "refused", refusal: { status: 502, code: "runner_failed" } };
  }

  /** Its time is over. */
  timeout(): Outcome {
    if (this.#caller.headersSent) return { kind: "broken", reason: "timeout" };
    const { mayHaveRun, attempts } = this.#progress;
    if (!mayHaveRun && attempts === 0) return this.refusal("timeout");
    return { kind: "refused", refusal: { status: 504, code: "timeout" } };
  }
}
