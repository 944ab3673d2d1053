/**
 * Decides when a daemon reads one kind of data from the store.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { FollowerTiming } from "../process/feed.ts";
import { StaleReads } from "../process/stale_reads.ts";
import type { StaleReadInputs } from "../process/stale_reads.ts";
import type { StoreConfirmations } from "../process/store_confirmations.ts";
import { WatchLog } from "../process/watch_log.ts";
import type { WatchReason } from "../process/watch_log.ts";
import { isWatcher, watchWaitMs } from "../process/watch_plan.ts";
import type { WatchCandidate } from "../process/watch_plan.ts";

/**
 * Time in ms without a response from the store or a peer after which a daemon that
 * lacks a configuration or the runners reads the store itself, although it has
 * neighbours. Until an operator has written the first configuration, each daemon
 * that watched the store for it would make a call every few seconds.
 */
const RESPONSE_TIMEOUT_MS = 15_000;

/**
 * Maximum wait in ms of a watch before the store has confirmed anything, so that a
 * fleet that has just started is not taken for one whose data is stale.
 */
const FIRST_WAIT_MS = 1_000;
/** Wait in ms of a watch that only confirms that nothing has changed. */
const CONFIRMING_WAIT_MS = 1;
/**
 * Maximum wait in ms of a watch in place of the watchers', of which there may be no
 * other: the data of the fleet must be confirmed before it is stale.
 */
const REPLACEMENT_WAIT_MS = 2_000;

/** The fleet, as far as it decides who reads the store. */
export interface ReadContext {
  readonly log: EventLog;
  /** This daemon. */
  readonly own: WatchCandidate;
  /** Other daemons that are presumed alive. */
  peers(): readonly WatchCandidate[];
  /** Names of those of them that are known to be unable to watch the store. */
  unableToWatch(): ReadonlySet<string>;
  /** In [0, 1). */
  random(): number;
  /** Age from which data is stale, in ms. */
  maxAgeMs(): number;
  /** Number of daemons that are linked, directly or not, including this one. */
  linkedDaemons(): number;
  /** Time of a peer's last response to a `FetchRequest`, in monotonic ms. */
  lastResponseAt(): number;
}

/** One kind of data. */
export interface ReadData {
  /** Name of this kind of data in the log. */
  readonly dependency: string;
  readonly confirmations: StoreConfirmations;
  /** Whether the daemon has data of this kind. */
  hasData(): boolean;
  /** Time of the store's last response to this daemon, in monotonic ms. */
  respondedAt(): number;
  /** Time of the last failed call of this daemon to the store, in monotonic ms. */
  failedAt(): number;
  /** Whether the last calls of this daemon to the store have failed. */
  storeLost(): boolean;
  /** Resolves when the decision should be checked again. */
  untilNextCheck(): Promise<void>;
}

/**
 * Has a daemon read the store while it is a watcher, while it has no peers, and
 * when nobody has confirmed its data for too long: its peers may then be cut off
 * from the store themselves.
 */
export class ReadTiming implements FollowerTiming {
  readonly #context: ReadContext;
  readonly #data: ReadData;
  readonly #staleReads: StaleReads;
  readonly #watchLog: WatchLog;
  #lastReason: WatchReason | undefined;

  constructor(context: ReadContext, data: ReadData) {
    this.#context = context;
    this.#data = data;
    this.#staleReads = new StaleReads(() => context.random());
    this.#watchLog = new WatchLog(context.log, data.dependency);
  }

  waitMs(): number {
    if (this.isStale()) return CONFIRMING_WAIT_MS;
    const { own, peers, random } = this.#context;
    const waitMs = watchWaitMs([own, ...peers()], random());
    if (this.#data.confirmations.latest === undefined) {
      return Math.min(FIRST_WAIT_MS, waitMs);
    }
    return this.replacesWatchers
      ? Math.min(REPLACEMENT_WAIT_MS, waitMs)
      : waitMs;
  }

  /** Whether this daemon watches the store as those that should cannot. */
  get replacesWatchers(): boolean {
    return this.#lastReason === "replacement" ||
      this.#staleReads.continues(this.#inputs());
  }

  shouldRead(): boolean {
    const reason = this.#reason();
    this.#lastReason = reason;
    this.#watchLog.record(reason, this.#context.peers().length);
    return reason !== undefined;
  }

  isStale(): boolean {
    const { ageMs, maxAgeMs } = this.#inputs();
    return ageMs >= maxAgeMs;
  }

  isConfirmedToOthersSince(time: number): boolean {
    return this.#data.confirmations.othersAt > time;
  }

  /**
   * Begins a read in place of the current watch if one is due.
   *
   * @returns whether to restart the watch; its connection may be dead.
   */
  beginWatchRestart(): boolean {
    return this.#staleReads.begin(this.#inputs());
  }

  /**
   * Whether neither the store nor a peer has responded within
   * {@linkcode RESPONSE_TIMEOUT_MS}, or ever.
   */
  lacksResponses(): boolean {
    const respondedAt = Math.max(
      this.#data.respondedAt(),
      this.#context.lastResponseAt(),
    );
    return performance.now() - respondedAt >= RESPONSE_TIMEOUT_MS;
  }

  untilNextCheck(): Promise<void> {
    return this.#data.untilNextCheck();
  }

  /** Why to read the store now; undefined if others read it. */
  #reason(): WatchReason | undefined {
    const { own, peers } = this.#context;
    const others = peers();
    if (others.length === 0) return "alone";
    if (isWatcher(own, [own, ...others])) return "rank";
    if (this.#ranksAmongAble(others)) return "replacement";
    if (!this.#data.hasData() && this.lacksResponses()) return "no_data";
    const inputs = this.#inputs();
    const stale = this.#staleReads.continues(inputs) ||
      this.#staleReads.begin(inputs);
    return stale ? "stale" : undefined;
  }

  /**
   * Whether no watcher is able to watch, and this daemon is a watcher among those
   * that are. A daemon whose own calls fail leaves it to others: if the store turns
   * all away, each of them tries once.
   */
  #ranksAmongAble(peers: readonly WatchCandidate[]): boolean {
    const { own } = this.#context;
    const unable = this.#context.unableToWatch();
    if (unable.size === 0 || this.#data.storeLost()) return false;
    const able = peers.filter(({ name }) => !unable.has(name));
    const fleet = [own, ...peers];
    return !able.some((peer) => isWatcher(peer, fleet)) &&
      isWatcher(own, [own, ...able]);
  }

  #inputs(): StaleReadInputs {
    const now = performance.now();
    return {
      now,
      ageMs: this.#data.confirmations.ageMs(now),
      maxAgeMs: this.#context.maxAgeMs(),
      respondedAt: this.#data.respondedAt(),
      failedAt: this.#data.failedAt(),
      othersAt: this.#data.confirmations.othersAt,
      daemons: this.#context.linkedDaemons(),
    };
  }
}
