/**
 * What happens to members, for logs and counters.
 *
 * @module
 */
import type { Health } from "./membership_record.ts";

/** A change of what is believed of a member. */
export interface MemberChanged {
  readonly type: "changed";
  readonly name: string;
  readonly health: Health;
  readonly leaving: boolean;
  /** The member that found it out. */
  readonly by: string;
}

/** Another member doubted this process, which contradicts it. */
export interface SuspicionRefuted {
  readonly type: "refuted";
  readonly health: Health;
  readonly by: string;
}

/** This process stood still. */
export interface ProcessPaused {
  readonly type: "paused";
  readonly pausedMs: number;
}

/**
 * Others knew a later start of this name, so this process raised its own. Once
 * is a clock that went back; time and again is a name that two hosts have.
 */
export interface IncarnationRaised {
  readonly type: "outdated";
  readonly incarnation: number;
}

/** Any of the changes worth a log line. */
export type MembershipEvent =
  | MemberChanged
  | SuspicionRefuted
  | ProcessPaused
  | IncarnationRaised;
