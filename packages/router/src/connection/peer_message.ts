/**
 * Messages between daemons.
 *
 * @module
 */
import type { CrashAges } from "./crash_ages.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactUpdates } from "../process/contact_book.ts";
import type { LeaseObservation } from "../process/leader_lease.ts";
import type { LimitUpdate } from "../process/runner_limits.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";
import type { LoadTotals } from "../process/load_totals.ts";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { UsageCount } from "../process/usage_meter.ts";
import type { Configuration } from "../version/configuration.ts";

/**
 * Version of this protocol. Daemons of different versions keep no links, as each
 * would take the other's sums for something else.
 */
export const PROTOCOL_VERSION = 3;

/** Requests that wait, as they are told. */
export interface QueuedRequests {
  readonly rank: number;
  /** Milliseconds since they came. */
  readonly ageMs: number;
  /** Milliseconds until they cannot begin on time any more; may be negative. */
  readonly leftMs: number;
  readonly requests: number;
  readonly unreadTokens: number;
}

/** Load that the sender, and those it speaks for, put on one runner. */
export interface RunnerLoadEntry extends LoadTotals {
  readonly runner: string;
  readonly waiting: readonly QueuedRequests[];
}

/** First message on a link, in both directions. */
export interface Hello extends Contact {
  readonly kind: "hello";
  readonly protocol: number;
  /** Other daemons that it knows. */
  readonly known: readonly Contact[];
}

/** Versions of what the platform's store holds, as the sender knows them. */
export interface Versions {
  /** Version of the configuration in force; -1 without one. */
  readonly configuration: number;
  /** Revision of the list of runners; 0 without one. */
  readonly runners: number;
}

/** For how many daemons a message speaks. */
export interface MemberCounts {
  readonly fleet: number;
  /** Those of them in the sender's failure domain. */
  readonly domain: number;
}

/** What a runner said of its limit, in ms before the message. */
export type LimitAge = Omit<LimitUpdate, "at"> & { readonly agoMs: number };

/** What was seen of the leader's lease, in ms before the message. */
export type LeaseAge = Omit<LeaseObservation, "at"> & {
  readonly agoMs: number;
};

/** What changed on runners, put together from one daemon or many. */
export interface RunnerUpdate {
  /** Whether it names all loads, not only changed ones. */
  readonly whole: boolean;
  readonly loads: readonly RunnerLoadEntry[];
  readonly parts: readonly PrefixUpdate[];
  /** Requests at runners that ended, and answers that clear some of them. */
  readonly crashes: CrashAges;
  readonly limits: readonly LimitAge[];
}

/** What changed since the last one; also the heartbeat of a link. */
export interface StateUpdate extends Versions, RunnerUpdate, ContactUpdates {
  readonly kind: "state";
  readonly members: MemberCounts;
  /** The time of day as the sender takes it to be, in epoch ms, if it tells. */
  readonly timeMs: number | undefined;
  /** Requests that runners began, for those that may lead. */
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseAge | undefined;
}

/** Asks for what the other side has newer. */
export interface FetchRequest {
  readonly kind: "want";
  readonly configuration: boolean;
  /** Revision of the list of runners that the sender has; none to get no list. */
  readonly runnersSince: number | undefined;
  /** What runners hold, for a daemon that has just started. */
  readonly parts: boolean;
}

/** Answers a {@linkcode FetchRequest}. */
export interface FetchResponse {
  readonly kind: "give";
  readonly configuration: Configuration | undefined;
  readonly runners: RunnerListUpdate | undefined;
  readonly parts: readonly PrefixUpdate[] | undefined;
}

/** Says for whom the receiver is to pass on loads to the sender. */
export interface Subscribe {
  readonly kind: "subscribe";
  /**
   * `fleet` for all others, from a child to its parent; `domain` for the
   * receiver and its children, between heads of failure domains; `none` ends it.
   */
  readonly scope: "fleet" | "domain" | "none";
}

/** Says that the sender does not need the link; whoever does keeps it. */
export interface LinkUnneeded {
  readonly kind: "unneeded";
}

/** A message between daemons. */
export type PeerMessage =
  | Hello
  | StateUpdate
  | FetchRequest
  | FetchResponse
  | Subscribe
  | LinkUnneeded;
