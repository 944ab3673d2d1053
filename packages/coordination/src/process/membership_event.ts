/**
 * Events of the membership, for logs and counters.
 *
 * @module
 */
import type { Health } from "./membership_record.ts";

/** The health of a member, or whether it is leaving, has changed. */
export interface MemberChanged {
  readonly type: "changed";
  readonly name: string;
  readonly health: Health;
  readonly leaving: boolean;
  /** Name of the member that detected the change. */
  readonly by: string;
}

/**
 * Another member reported this process as suspect or removed; it refutes that.
 */
export interface SuspicionRefuted {
  readonly type: "refuted";
  readonly health: Health;
  readonly by: string;
}

/** This process did not run for a while. */
export interface ProcessPaused {
  readonly type: "paused";
  readonly pausedMs: number;
}

/**
 * Other members knew a higher incarnation of this name, so this process raised
 * its own. If this happens once, a clock went back; if repeatedly, two hosts
 * use the same name.
 */
export interface IncarnationRaised {
  readonly type: "outdated";
  readonly incarnation: number;
}

/** Any event worth a log line. */
export type MembershipEvent =
  | MemberChanged
  | SuspicionRefuted
  | ProcessPaused
  | IncarnationRaised;
