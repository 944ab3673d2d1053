/**
 * Suspicions of members and the time until they expire.
 *
 * @module
 */
import type { ProbeSettings } from "./membership_settings.ts";

interface Suspicion {
  readonly startedAt: number;
  /** Members that suspect it: the first, and those that confirmed. */
  readonly suspectedBy: Set<string>;
  readonly minMs: number;
  readonly maxMs: number;
  /**
   * Number of confirming members that shorten the suspicion to `minMs`; further
   * ones have no effect.
   */
  readonly maxConfirmers: number;
}

/**
 * The active suspicions at this process.
 *
 * A suspicion starts with a long time-out, which shrinks as other members
 * confirm it. A process that is itself slow or partly cut off suspects many
 * members, but no others confirm this, so the suspected members have time to
 * refute the suspicion. A member that has failed is suspected by several others
 * within a few periods.
 */
export class Suspicions {
  readonly #settings: ProbeSettings;
  readonly #active = new Map<string, Suspicion>();
  /**
   * Total of all extensions. A suspicion is extended only by those after its
   * start.
   */
  #extensionMs = 0;

  constructor(settings: ProbeSettings) {
    this.#settings = settings;
  }

  /**
   * Starts a suspicion, or adds a confirmation by another member.
   *
   * @returns whether the suspicion or confirmation is new and has an effect on
   * the time-out. The caller then gossips a confirmation, which shortens the
   * time-out at other members too.
   */
  add(
    name: string,
    by: string,
    context: { readonly now: number; readonly memberCount: number },
  ): boolean {
    const active = this.#active.get(name);
    if (active !== undefined) {
      const { suspectedBy, maxConfirmers } = active;
      if (suspectedBy.has(by) || suspectedBy.size > maxConfirmers) return false;
      suspectedBy.add(by);
      return true;
    }
    const settings = this.#settings;
    const scale = Math.max(1, Math.log10(context.memberCount));
    const minMs = settings.suspicionPeriods * settings.periodMs * scale;
    // Neither the suspect nor this process can confirm the suspicion. One
    // further member is subtracted, since in the smallest fleets it cannot be
    // relied on to confirm.
    const confirmers = Math.max(0, context.memberCount - 3);
    this.#active.set(name, {
      startedAt: context.now - this.#extensionMs,
      suspectedBy: new Set([by]),
      minMs,
      maxMs: minMs * settings.suspicionStretch,
      maxConfirmers: Math.min(
        settings.suspicionConfirmations,
        confirmers,
      ),
    });
    return true;
  }

  /** Ends a suspicion. */
  clear(name: string): void {
    this.#active.delete(name);
  }

  /**
   * Extends all active suspicions by the duration of a pause of this process.
   */
  extend(ms: number): void {
    this.#extensionMs += ms;
  }

  /** Names of the members whose suspicion has expired. */
  expired(now: number): readonly string[] {
    const names: string[] = [];
    for (const [name, suspicion] of this.#active) {
      const elapsedMs = now - suspicion.startedAt - this.#extensionMs;
      if (elapsedMs >= timeoutOf(suspicion)) names.push(name);
    }
    return names;
  }
}

/**
 * Returns the time until a suspicion expires. It shrinks from `maxMs` to `minMs`
 * with the logarithm of the number of confirmations.
 */
function timeoutOf(suspicion: Suspicion): number {
  const { minMs, maxMs, maxConfirmers, suspectedBy } = suspicion;
  if (maxConfirmers === 0) return minMs;
  const confirmations = suspectedBy.size - 1;
  const progress = Math.log(confirmations + 1) /
    Math.log(maxConfirmers + 1);
  return Math.max(minMs, maxMs - (maxMs - minMs) * progress);
}
