/**
 * How often daemons tell each other, and when all of them know.
 *
 * @module
 */
import { relayCount } from "../process/link_plan.ts";

/**
 * Milliseconds between two states for each peer that is told directly: with 7
 * daemons one every 28 ms. So a daemon sends and reads at most 250 states a
 * second, about 1% of a core.
 */
const PERIOD_PER_PEER_MS = 4;
const SHORTEST_PERIOD_MS = 20;
/**
 * Milliseconds between two states on each link of the tree while requests wait
 * for a runner; a state waits for half of it at each relay on its way.
 */
const HOP_MS = 40;
/**
 * The same while none waits: what is older matters when several daemons want the
 * last room at one runner, and then requests wait.
 */
const CALM_HOP_MS = 80;
/**
 * The same where only the list of runners is newer. It changes many times a
 * second while runners start, and passes five daemons at most within the seconds
 * that one that drains serves on.
 */
const RUNNERS_HOP_MS = 100;
/**
 * Periods between states after which all daemons know of a change here: one
 * until it is sent, and half of one for the way and the timers. Without this
 * time a free runner is sent 240,000 tokens of prompts at once instead of 30,000.
 */
const SETTLE_PERIODS = 1.5;
/** What a relay on the way adds to it, in ms: three quarters of its longest wait. */
const SETTLE_PER_RELAY_MS = 30;
/** Relays on the way between two failure domains of one relay each. */
const RELAYS_OF_SMALL_DOMAINS = 2;
/** The same where relays of each domain tell a head. */
const RELAYS_OF_LARGE_DOMAINS = 4;

/** What the pace follows from. */
export interface IntervalInputs {
  /** How many links are up. */
  readonly peers: number;
  /** Whether loads go through relays. */
  readonly relayed: boolean;
  /** Daemons of the own failure domain. */
  readonly domainSize: number;
  /** What is newer here than what peers were told. */
  readonly unsent: {
    readonly configuration: boolean;
    readonly runners: boolean;
  };
  /** Whether requests wait for runners whose loads are to be told. */
  readonly requestsWaiting: boolean;
}

/** Milliseconds between two states. */
export function broadcastIntervalMs(moment: IntervalInputs): number {
  const { peers, relayed, unsent: newer, requestsWaiting: waits } = moment;
  if (!relayed) return Math.max(SHORTEST_PERIOD_MS, PERIOD_PER_PEER_MS * peers);
  if (newer.configuration) return SHORTEST_PERIOD_MS;
  if (newer.runners) return RUNNERS_HOP_MS;
  return waits ? HOP_MS : CALM_HOP_MS;
}

/** Milliseconds in which all daemons know of a request that waits here. */
export function propagationMs(moment: IntervalInputs): number {
  const { peers, relayed, domainSize } = moment;
  if (peers === 0) return 0;
  if (!relayed) return SETTLE_PERIODS * broadcastIntervalMs(moment);
  const relays = relayCount(domainSize) > 1
    ? RELAYS_OF_LARGE_DOMAINS
    : RELAYS_OF_SMALL_DOMAINS;
  return SETTLE_PERIODS * SHORTEST_PERIOD_MS + relays * SETTLE_PER_RELAY_MS;
}
