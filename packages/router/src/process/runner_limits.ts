/**
 * How much runners say that they take from all daemons together.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** What a runner's answer says of how much the runner takes. */
export type StatedLimit =
  /** Requests a second, of all daemons together. */
  | { readonly kind: "limit"; readonly perS: number }
  /** Something that is no such number. */
  | { readonly kind: "unreadable"; readonly text: string };

/** Runners whose unreadable limits are remembered, so that each is logged once. */
const MAX_UNREADABLE = 1_000;

/** The limits that runners name, by the ids of their lives. */
export class RunnerLimits {
  readonly #log: EventLog;
  readonly #perS = new Map<string, number>();
  readonly #unreadable = new Set<string>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Requests a second that a runner takes, if it has named a limit. */
  of(runner: string): number | undefined {
    return this.#perS.get(runner);
  }

  /** Takes what an answer of a runner says, or that it says nothing. */
  heard(runner: string, stated: StatedLimit | undefined): void {
    if (stated?.kind === "unreadable") {
      return this.#leaveOut(runner, stated.text);
    }
    const before = this.#perS.get(runner);
    if (stated?.perS === before) return;
    if (stated === undefined) this.#perS.delete(runner);
    else this.#perS.set(runner, stated.perS);
    this.#log.event("runner_limit_changed", {
      runner,
      per_s: stated?.perS,
      before,
    });
  }

  /** Forgets runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const known of [this.#perS, this.#unreadable]) {
      for (const id of known.keys()) {
        if (!ids.has(id)) known.delete(id);
      }
    }
  }

  #leaveOut(runner: string, text: string): void {
    if (this.#unreadable.has(runner)) return;
    if (this.#unreadable.size >= MAX_UNREADABLE) return;
    this.#unreadable.add(runner);
    this.#log.event("runner_limit_unreadable", { runner, text });
  }
}
