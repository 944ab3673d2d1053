/**
 * The messages that daemons exchange. In a large fleet some daemons are relays:
 * they sum the loads of others and forward them (see link_plan.ts).
 *
 * @module
 */
import type { CrashAges } from "./crash_ages.ts";
import type { OriginUpdates } from "../process/stream_origins.ts";
import type { PlaceAges } from "./place_encoding.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactUpdates } from "../process/contact_book.ts";
import type { ConfirmationAge } from "../process/store_confirmations.ts";
import type { LeaseObservation } from "../process/leader_lease.ts";
import type { DrainingUpdate } from "../process/draining_runners.ts";
import type { LimitUpdate } from "../process/runner_limits.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";
import type { PaceUpdate, StatedFigure } from "../process/runner_paces.ts";
import type { LoadTotals } from "../process/load_totals.ts";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { UsageCount, UsageEnd } from "../process/usage_meter.ts";
import type { CostSum } from "../process/workspace_shares.ts";
import type { Configuration } from "../version/configuration.ts";

/**
 * Version of this protocol. Daemons of different versions keep no links, because
 * each would misread the other's load totals or revisions.
 */
export const PROTOCOL_VERSION = 4;

/** One request that waits for a runner, or several of the same rank. */
export interface QueuedRequests {
  readonly rank: number;
  /** Milliseconds since the requests arrived. */
  readonly ageMs: number;
  /**
   * Milliseconds until the latest start that still meets the latency target;
   * negative once that has passed.
   */
  readonly leftMs: number;
  readonly requests: number;
  readonly unreadTokens: number;
  /** Share of the requests' workspaces; see `QueueKey`. */
  readonly share?: number | undefined;
}

/** Load that the sender, and the daemons it relays for, put on one runner. */
export interface RunnerLoadEntry extends LoadTotals {
  readonly runner: string;
  readonly waiting: readonly QueuedRequests[];
}

/**
 * First message on a link, in both directions. Its field names are on the wire.
 */
export interface Hello extends Contact {
  readonly kind: "hello";
  readonly protocol: number;
  /** Contacts of other daemons. */
  readonly known: readonly Contact[];
}

/** Versions of the store's contents that the sender has. */
export interface Versions {
  /** Version of the current configuration; -1 without one. */
  readonly configuration: number;
  /** Revision of the list of runners; 0 without one. */
  readonly runners: number;
}

/**
 * When the store last confirmed the versions of the sender, or later ones that it
 * has as well; absent before the first confirmation.
 */
export interface ConfirmationAges {
  readonly configuration: ConfirmationAge | undefined;
  readonly runners: ConfirmationAge | undefined;
}

/** Number of daemons whose load a message includes. */
export interface MemberCounts {
  readonly fleet: number;
  /** Number of these daemons in the sender's failure domain. */
  readonly domain: number;
}

/** A rate limit that a runner stated, with its age when the message was sent. */
export type LimitAge = Omit<LimitUpdate, "at"> & { readonly agoMs: number };

/**
 * A runner that stated that it is shutting down, and how long before the message
 * was sent.
 */
export type DrainingAge = Omit<DrainingUpdate, "at"> & {
  readonly agoMs: number;
};

/**
 * An observation of the leader's lease, with its age when the message was sent.
 */
export type LeaseAge = Omit<LeaseObservation, "at"> & {
  readonly agoMs: number;
};

/** Observed pace of a runner, with the age of its figure when it was sent. */
export type PaceAge = Omit<PaceUpdate, "stated"> & {
  readonly stated:
    | (Omit<StatedFigure, "at"> & { readonly agoMs: number })
    | undefined;
};

/** Changes on runners, merged from one or more daemons. */
export interface RunnerUpdate {
  /** Whether `loads` is a snapshot of all loads; otherwise it is a delta. */
  readonly whole: boolean;
  readonly loads: readonly RunnerLoadEntry[];
  readonly parts: readonly PrefixUpdate[];
  /** Requests at crashed runners, and complete responses that clear some. */
  readonly crashes: CrashAges;
  readonly limits: readonly LimitAge[];
  readonly draining: readonly DrainingAge[];
  /** Observed paces; none where requests are not scheduled adaptively. */
  readonly paces: readonly PaceAge[];
  /** Places of refused requests, and the uses of such places. */
  readonly places: PlaceAges;
  /** Origins of streams, and questions for them. */
  readonly streams: OriginUpdates;
}

/** Changes since the sender's last update; also the heartbeat of a link. */
export interface StateUpdate extends Versions, RunnerUpdate, ContactUpdates {
  readonly kind: "state";
  /** Undefined in a received update if they were invalid. */
  readonly members: MemberCounts | undefined;
  /**
   * Runners whose loads were invalid in a received update, and are not among
   * `loads`.
   */
  readonly unreadableLoads?: readonly string[];
  readonly confirmed: ConfirmationAges;
  /** Whether the sender's last calls to the store have failed. */
  readonly storeLost: boolean;
  /** The sender's estimate of the time in epoch ms; absent without metering. */
  readonly timeMs: number | undefined;
  /** Counts of requests that runners started, for the daemons that may lead. */
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseAge | undefined;
  /** Cumulative costs of requests by workspace. */
  readonly shares: readonly CostSum[];
  /**
   * Announcements that the usage counts of daemons are complete, as sent so far
   * or in this message.
   */
  readonly ends: readonly UsageEnd[];
}

/** Requests newer data from a peer. Its field names are on the wire. */
export interface FetchRequest {
  readonly kind: "want";
  readonly configuration: boolean;
  /** The sender's revision of the runner list; undefined to skip the list. */
  readonly runnersSince: number | undefined;
  /** Whether to send the prompt parts that runners cache; set after a start. */
  readonly parts: boolean;
}

/** Response to a {@linkcode FetchRequest}. Its field names are on the wire. */
export interface FetchResponse {
  readonly kind: "give";
  readonly configuration: Configuration | undefined;
  readonly runners: RunnerListUpdate | undefined;
  readonly parts: readonly PrefixUpdate[] | undefined;
}

/** Subscribes the sender to load updates that the receiver relays. */
export interface Subscribe {
  readonly kind: "subscribe";
  /**
   * The daemons whose loads to relay. `fleet`: all others, from a child to its
   * parent. `domain`: the receiver and its children, between heads of failure
   * domains. `none` ends the subscription.
   */
  readonly scope: "fleet" | "domain" | "none";
}

/**
 * Informs the peer that the sender no longer needs the link; the peer may keep it.
 */
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
