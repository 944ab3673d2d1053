/**
 * Runners that stated in a response that they are shutting down.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** A runner's statement that it is shutting down. */
export interface DrainingUpdate {
  /** Id of the runner's incarnation. */
  readonly runner: string;
  /** When the runner stated it, in monotonic ms. */
  readonly at: number;
}

/**
 * Milliseconds for which a runner that is not listed is remembered. While the
 * store is down its entry may be removed and come back as it was before.
 */
const UNLISTED_TTL_MS = 600_000;

/**
 * The incarnations of runners that are shutting down by their own statement. The
 * list of runners says the same only once the store has accepted it, so while
 * the store is down daemons would send requests to a runner until it exits.
 * A shutdown is final, so daemons exchange the ids and merge them in any order.
 */
export class DrainingRunners {
  readonly #log: EventLog;
  /** When each runner stated it, by id, in monotonic ms. */
  readonly #statedAt = new Map<string, number>();
  readonly #listeners: (() => void)[] = [];
  #pending: DrainingUpdate[] = [];

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Calls `listener` when a runner is added. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Whether a runner has stated that it is shutting down. */
  has(runner: string): boolean {
    return this.#statedAt.has(runner);
  }

  /** Records that a runner's response states that it is shutting down. */
  recordStated(runner: string, now: number): void {
    const update = { runner, at: now };
    if (!this.#add(update, { source: "response", now })) return;
    this.#pending.push(update);
    this.#changed();
  }

  /**
   * Records runners that the list states to be shutting down. A restored store
   * may list them as ready again. Other daemons have the list, too.
   */
  recordListed(runners: readonly string[], now: number): void {
    for (const runner of runners) {
      if (!this.#statedAt.has(runner)) this.#statedAt.set(runner, now);
    }
  }

  /**
   * Applies updates from other daemons.
   *
   * @returns the updates that were new to this daemon, to be forwarded.
   */
  applyUpdates(
    updates: readonly DrainingUpdate[],
    now: number,
  ): readonly DrainingUpdate[] {
    const added = updates.filter((update) =>
      this.#add(update, { source: "peer", now })
    );
    if (added.length > 0) this.#changed();
    return added;
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): readonly DrainingUpdate[] {
    const pending = this.#pending;
    this.#pending = [];
    return pending;
  }

  /** Returns all of them, for a daemon that has just connected. */
  snapshot(): readonly DrainingUpdate[] {
    return [...this.#statedAt].map(([runner, at]) => ({ runner, at }));
  }

  /** Forgets runners that have not been listed for a long time. */
  retain(ids: ReadonlySet<string>, now: number): void {
    for (const [runner, at] of this.#statedAt) {
      const kept = ids.has(runner) || now - at < UNLISTED_TTL_MS;
      if (!kept) this.#statedAt.delete(runner);
    }
  }

  #add({ runner, at }: DrainingUpdate, received: {
    readonly source: "response" | "peer";
    readonly now: number;
  }): boolean {
    if (this.#statedAt.has(runner)) return false;
    this.#statedAt.set(runner, at);
    const { source, now } = received;
    this.#log.event("runner_draining", {
      runner,
      source,
      age_ms: Math.round(now - at),
    });
    return true;
  }

  #changed(): void {
    for (const listener of this.#listeners) listener();
  }
}
