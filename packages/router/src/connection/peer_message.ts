/**
 * Messages between daemons.
 *
 * @module
 */
import type { PartsNews } from "../process/prefix_record.ts";
import type { Share } from "../process/share.ts";
import type { RunnerList } from "../process/runner_directory.ts";
import type { Configuration } from "../version/configuration.ts";

/** A request that waits at the sender of a message. */
export interface WaitingNews {
  readonly rank: number;
  /** Milliseconds since it came. */
  readonly ageMs: number;
  /** Milliseconds until it cannot begin on time any more; may be negative. */
  readonly leftMs: number;
  readonly unreadTokens: number;
}

/** Load that one daemon puts on one runner, or is about to. */
export interface LoadShare extends Share {
  readonly runner: string;
  readonly waiting: readonly WaitingNews[];
}

/** First message on a link, in both directions. */
export interface Hello {
  readonly kind: "hello";
  readonly name: string;
  /** Differs at each start of a daemon. */
  readonly incarnation: string;
  /** Where the daemon is reached, as "IP:PORT". */
  readonly address: string;
  readonly failureDomain: string;
  /** Width of its network link, in Mbit/s; 0 when unknown. */
  readonly linkMbps: number;
  /** Addresses of other daemons that it knows. */
  readonly known: readonly string[];
}

/** What changed since the last one; also the heartbeat of a link. */
export interface State {
  readonly kind: "state";
  /** Version of the configuration in force; -1 without one. */
  readonly configuration: number;
  /** Revision of the list of runners; 0 without one. */
  readonly runners: number;
  /** Whether it names all of the sender's loads, not only changed ones. */
  readonly whole: boolean;
  readonly loads: readonly LoadShare[];
  readonly parts: readonly PartsNews[];
}

/** Asks for what the other side has newer. */
export interface Want {
  readonly kind: "want";
  readonly configuration: boolean;
  readonly runners: boolean;
  /** What runners hold, for a daemon that has just started. */
  readonly parts: boolean;
}

/** Answers a {@linkcode Want}. */
export interface Give {
  readonly kind: "give";
  readonly configuration: Configuration | undefined;
  readonly runners: RunnerList | undefined;
  readonly parts: readonly PartsNews[] | undefined;
}

/** Asks a daemon to pass on the states of others, or no more. */
export interface Subscribe {
  readonly kind: "subscribe";
  /**
   * `fleet` for the states of all daemons, from one that sends its own in turn;
   * `domain` for those of the daemon and of its subscribers for `fleet`.
   */
  readonly scope: "fleet" | "domain" | "none";
}

/** Tells whether a daemon passes on the states of others. */
export interface Relaying {
  readonly kind: "relaying";
  readonly on: boolean;
}

/** What changed at one daemon. */
export interface DaemonState {
  readonly daemon: string;
  /** Whether it names all of its loads, not only changed ones. */
  readonly whole: boolean;
  readonly loads: readonly LoadShare[];
  readonly parts: readonly PartsNews[];
}

/** States that a relay passes on, with its own versions; also its heartbeat. */
export interface Batch {
  readonly kind: "batch";
  readonly configuration: number;
  readonly runners: number;
  readonly states: readonly DaemonState[];
  /** Daemons whose links to their relay are down. */
  readonly gone: readonly string[];
}

/** A message between daemons. */
export type PeerMessage =
  | Hello
  | State
  | Want
  | Give
  | Subscribe
  | Relaying
  | Batch;
