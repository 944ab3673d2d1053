/**
 * Decides whether all counts of a usage window have arrived at the leader.
 *
 * @module
 */
import type { UsageCheckpoint } from "./leader_record.ts";
import type { UsageEnd, UsageMeter } from "./usage_meter.ts";

/**
 * Windows for which the leader waits for daemons that were cut off, after the one
 * in which it last heard of them. Cuts last for some seconds; a daemon that is away
 * for longer cannot deliver its counts before the report is due.
 */
const ABSENT_WINDOWS = 2;
/**
 * Share of the daemons that may be absent without being waited for to the end, half
 * of the tolerance of a report (0.05). Hosts that fail one by one do not return.
 */
const ABSENT_SHARE = 0.025;

/** Inputs of {@linkcode isComplete}. */
export interface CompletionSources {
  readonly meter: UsageMeter;
  readonly checkpoint: UsageCheckpoint;
  /** Number of daemons in the fleet, as far as they are linked. */
  readonly daemons: number;
  /** Whether few absent daemons have been waited for long enough. */
  readonly waited: boolean;
}

/**
 * Returns whether the counts of a window are complete: all daemons that counted in
 * it, or were in the fleet, have announced its end. Answers windows of 5 s whose
 * reports must be within 0.05 of the requests, in a fleet where hosts fail one by
 * one and groups of them are cut off for some seconds.
 *
 * @example
 * ```ts
 * isComplete(356_015_216, { meter, checkpoint, daemons: 66, waited: false });
 * ```
 */
export function isComplete(
  window: number,
  { meter, checkpoint, daemons, waited }: CompletionSources,
): boolean {
  const ends = meter.ends();
  const hasEnded = (incarnation: string) => {
    const end = ends.get(incarnation);
    return end !== undefined && covers(end, window);
  };
  for (const incarnation of meter.incarnations(window)) {
    if (!hasEnded(incarnation)) return false;
  }
  // A former leader has heard of daemons that this one has not.
  for (const incarnation of livesOf(checkpoint, window)) {
    if (!meter.knows(incarnation)) return false;
  }
  let ended = 0;
  let absent = 0;
  for (const end of ends.values()) {
    if (covers(end, window)) {
      if (!end.left) ended += 1;
    } else if (end.window >= window - 1) {
      return false;
    } else if (end.window >= window - ABSENT_WINDOWS) {
      absent += 1;
    }
  }
  // A daemon that has just started, or is of a version without announcements, is
  // known by its number only.
  if (ended < daemons) return false;
  const few = Math.max(1, ABSENT_SHARE * (ended + absent));
  return absent === 0 || (waited && absent <= few);
}

/** Incarnations whose counts of a window a checkpoint includes. */
export function livesOf(
  { lives, windows }: UsageCheckpoint,
  window: number,
): ReadonlySet<string> {
  const stored = windows.find((entry) => entry.window === window);
  if (stored === undefined) return new Set();
  return new Set([...lives, ...stored.carried ?? []]);
}

function covers(end: UsageEnd, window: number): boolean {
  return end.left || end.window >= window;
}
