/**
 * Intervals between state updates, and the time until all daemons receive a
 * change.
 *
 * @module
 */
import { relayCount } from "../process/link_plan.ts";

/**
 * Milliseconds between two updates for each peer of a fleet without relays:
 * with 7 daemons one every 28 ms. A daemon thus sends and receives at most 250
 * updates a second, about 1% of a core.
 */
const INTERVAL_PER_PEER_MS = 4;
const MIN_INTERVAL_MS = 20;
/**
 * Milliseconds between two updates on each link of the tree while requests wait
 * for a runner. An update waits for half of it at each relay on its path.
 */
const HOP_INTERVAL_MS = 40;
/**
 * The same while no requests wait. Stale loads matter when several daemons
 * compete for the last capacity of one runner, and then requests wait.
 */
const IDLE_HOP_INTERVAL_MS = 80;
/**
 * The same where only the list of runners is unsent. The list changes many
 * times a second while runners start. A change passes five daemons at most,
 * well within the seconds for which a draining runner keeps serving.
 */
const RUNNERS_HOP_INTERVAL_MS = 100;
/**
 * Intervals after which all daemons have received a change: one until it is sent,
 * and half of one for the network and the timers. Without this delay, daemons
 * send a free runner 240,000 tokens of prompts at once instead of 30,000.
 */
const PROPAGATION_INTERVALS = 1.5;
/**
 * Delay that each relay on the path adds, in ms: three quarters of its longest
 * wait.
 */
const PROPAGATION_PER_RELAY_MS = 30;
/** Relays on the path between two failure domains with one relay each. */
const RELAYS_OF_SMALL_DOMAINS = 2;
/** The same where the relays of each domain are linked to its head. */
const RELAYS_OF_LARGE_DOMAINS = 4;

/** The state from which intervals are derived. */
export interface IntervalInputs {
  /** Number of links that are up. */
  readonly peers: number;
  /** Whether loads go through relays. */
  readonly relayed: boolean;
  /** Number of daemons in this daemon's failure domain. */
  readonly domainSize: number;
  /** Which versions are newer than those sent to peers. */
  readonly unsent: {
    readonly configuration: boolean;
    readonly runners: boolean;
  };
  /** Whether requests wait for runners whose loads are to be sent. */
  readonly requestsWaiting: boolean;
}

/** Milliseconds between two state updates. */
export function broadcastIntervalMs(inputs: IntervalInputs): number {
  const { peers, relayed, unsent, requestsWaiting } = inputs;
  if (!relayed) return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_PEER_MS * peers);
  if (unsent.configuration) return MIN_INTERVAL_MS;
  if (unsent.runners) return RUNNERS_HOP_INTERVAL_MS;
  return requestsWaiting ? HOP_INTERVAL_MS : IDLE_HOP_INTERVAL_MS;
}

/** Milliseconds until all daemons have received a change of this one. */
export function propagationMs(inputs: IntervalInputs): number {
  const { peers, relayed, domainSize } = inputs;
  if (peers === 0) return 0;
  if (!relayed) return PROPAGATION_INTERVALS * broadcastIntervalMs(inputs);
  const relays = relayCount(domainSize) > 1
    ? RELAYS_OF_LARGE_DOMAINS
    : RELAYS_OF_SMALL_DOMAINS;
  return PROPAGATION_INTERVALS * MIN_INTERVAL_MS +
    relays * PROPAGATION_PER_RELAY_MS;
}
