/**
 * Places of this daemon's waiting requests by the shares of their workspaces,
 * and the minimum shares of less urgent ranks.
 *
 * @module
 */
import { precedes } from "./runner_queue.ts";
import type { QueueKey } from "./runner_queue.ts";
import { SHARE_UNITS } from "./workspace_shares.ts";
import type { Flow, WorkspaceShares } from "./workspace_shares.ts";

/**
 * Rank of a request that its rank's minimum share sends first: more urgent than
 * all configured ones.
 */
export const MINIMUM_SHARE_RANK = -1;
/**
 * Part of the cost of more urgent requests that a rank gets while its requests
 * wait.
 */
const MINIMUM_SHARE = 1 / 20;
/**
 * Part of the rank's greatest share below which a workspace's first late request
 * keeps its place among those on time.
 */
const UNDERSERVED_PART = 0.5;
/** Time in ms for which a late request keeps its place, until it is renewed. */
const KEPT_PLACE_MS = 500;
/**
 * Time in ms after which places are computed again. All waiting requests are
 * checked together every 20 ms, so they are computed once for each check.
 */
const REFRESH_MS = 10;
/**
 * Change of a waiting request's share, as a part of its rank's recent cost, that
 * is sent to neighbours. With smaller ones, daemons disagree more often: with
 * 1/64, slots of a plain service with 7 daemons were idle for 2.9% of the time
 * instead of 1.4%. With 1/16, a change hides the shares of smaller workspaces.
 */
const MIN_CHANGE = 1 / 32;

/**
 * Requests of a workspace at this daemon that have the same place. Requests of one
 * workspace that wait at different daemons then go by age; with a place for each,
 * the first ones at every daemon overtook older ones, and of the requests refused
 * in a flood 20 in 100 heard so after more than 100 ms.
 */
const REQUESTS_PER_TURN = 4;

/**
 * Part of the propagation time after which neighbours have a new share, on
 * average. If it took effect here after the whole time, requests that it puts
 * first would be awaited by the others while they wait themselves: slots were
 * idle for 4.3% of the time instead of 0.6%. Without delay, requests were sent by
 * several daemons at once, and 137 of 148 of a small workspace were served in
 * their target instead of all.
 */
const ARRIVED_PART = 0.5;

/**
 * Time in ms after a refusal in which no less urgent request of the service goes
 * first by a minimum share: no request is refused for the sake of a less urgent
 * one.
 */
const REFUSAL_MEMORY_MS = 5_000;

/** What the order depends on. */
export interface ShareOrderSources {
  readonly shares: WorkspaceShares;
  /** Returns the monotonic time in ms. */
  readonly now: () => number;
  /** Returns the ms within which a change here reaches all other daemons. */
  readonly propagationMs: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Returns the requests of a rank to a service that wait at other daemons. */
  readonly othersWaiting: (service: string, rank: number) => number;
}

/** What the place of a request depends on, besides the share of its workspace. */
export interface KeyOptions extends Pick<QueueKey, "arrivedAt" | "startBy"> {
  /** Estimated cost of the request. */
  readonly cost: number;
}

/**
 * The key of one request of this daemon. Its share, and at times its rank and
 * latest start, change while it waits.
 */
export class SharedKey implements QueueKey {
  readonly flow: Flow;
  readonly arrivedAt: number;
  /** Latest start on time, without regard to its workspace's share. */
  readonly latestStart: number;
  /** Estimated cost of the request. */
  readonly cost: number;
  readonly #order: ShareOrder;
  /** The waiting requests of its rank; absent while it isn't one of them. */
  waiting: WaitingRank | undefined;
  /** Earlier turns of the workspace's requests that wait at this daemon. */
  ahead = 0;
  /** Time until which a late request keeps its place among those on time. */
  keptUntil = -Infinity;
  /** Whether the minimum share of its rank sends it first. */
  promoted = false;
  /** The share in force; undefined until it is first used. */
  #share: number | undefined;
  /** The share that neighbours get. */
  #announced = 0;
  /** When the neighbours have it, so that it takes effect here. */
  #inForceAt = 0;

  constructor(order: ShareOrder, flow: Flow, options: KeyOptions) {
    this.#order = order;
    this.flow = flow;
    this.arrivedAt = options.arrivedAt;
    this.latestStart = options.startBy;
    this.cost = options.cost;
  }

  get rank(): number {
    this.#order.refresh(this);
    return this.promoted ? MINIMUM_SHARE_RANK : this.flow.rank;
  }

  get startBy(): number {
    this.#order.refresh(this);
    return Math.max(this.latestStart, this.keptUntil);
  }

  /**
   * Share of the workspace after its earlier requests that wait here. With the
   * same share for all, 200 waiting requests of a workspace would count as ahead
   * of each request of the next one, though they take turns.
   */
  get share(): number {
    const now = this.#order.refresh(this);
    if (this.#share === undefined) this.#announced = this.#current(now);
    if (this.#share === undefined || now >= this.#inForceAt) {
      this.#share = this.#announced;
    }
    return this.#share;
  }

  announce(now: number): QueueKey {
    const { rank, arrivedAt, startBy, share } = this;
    const current = this.#current(now);
    const changed = Math.abs(current - this.#announced) >=
      MIN_CHANGE * SHARE_UNITS;
    if (changed && share === this.#announced) {
      this.#announced = current;
      this.#inForceAt = now + ARRIVED_PART * this.#order.propagationMs;
    }
    return { rank, arrivedAt, startBy, share: this.#announced };
  }

  #current(now: number): number {
    return this.#order.shares.share(this.flow, now, this.ahead);
  }
}

/** The waiting requests of one rank to a service. */
class WaitingRank {
  readonly keys = new Set<SharedKey>();
  /** Cost that the minimum share allows, up to that of one request. */
  credit = 0;
  /** Cumulative cost of more urgent requests when `credit` was last raised. */
  costBefore = 0;
  refreshedAt = -Infinity;
}

/**
 * Orders this daemon's waiting requests by the shares of their workspaces.
 *
 * Two rules keep everyone served. The first late request of a workspace that
 * has received less than half of the greatest share keeps its place among those
 * on time: where a target is shorter than the time until all daemons know of a
 * request, all requests of a workspace are late and would wait behind a flood
 * of others. And while requests of a less urgent rank wait, one of them is sent
 * first for every twenty, by cost, of more urgent ones.
 *
 * The minimum share is divided among daemons by their waiting requests. Credit
 * starts at a random part of a request's cost, so that daemons whose requests
 * began to wait at the same time don't all send one at the same time; on
 * average, this changes nothing.
 */
export class ShareOrder {
  readonly #sources: ShareOrderSources;
  readonly #ranks = new Map<string, WaitingRank>();
  /** Times of the last refusals, by service and then by rank. */
  readonly #refusals = new Map<string, Map<number, number>>();

  constructor(sources: ShareOrderSources) {
    this.#sources = sources;
  }

  get propagationMs(): number {
    return this.#sources.propagationMs();
  }

  get shares(): WorkspaceShares {
    return this.#sources.shares;
  }

  /** Returns the key of a request that may have to wait. */
  key(flow: Flow, options: KeyOptions): SharedKey {
    return new SharedKey(this, flow, options);
  }

  /** Adds a request that may wait; {@linkcode leave} takes it out again. */
  join(key: SharedKey): void {
    const { service, rank } = key.flow;
    const id = rankId(key.flow);
    let waiting = this.#ranks.get(id);
    if (waiting === undefined) {
      this.#ranks.set(id, waiting = new WaitingRank());
      waiting.costBefore = this.shares.costBefore(service, rank);
      waiting.credit = this.#sources.random() * this.#costOf(key);
    }
    key.waiting = waiting;
    waiting.keys.add(key);
    waiting.refreshedAt = -Infinity;
  }

  /** Removes a request that is sent or has stopped waiting. */
  leave(key: SharedKey, options: { readonly started: boolean }): void {
    const { waiting } = key;
    if (waiting === undefined) return;
    key.waiting = undefined;
    waiting.keys.delete(key);
    waiting.refreshedAt = -Infinity;
    if (key.promoted && !options.started) waiting.credit = this.#costOf(key);
    key.promoted = false;
    if (waiting.keys.size === 0) this.#ranks.delete(rankId(key.flow));
  }

  /** Records that a request was refused for lack of capacity. */
  recordRefusal({ service, rank }: Flow): void {
    const refusals = this.#refusals.get(service) ?? new Map();
    this.#refusals.set(service, refusals.set(rank, this.#sources.now()));
  }

  /** Whether a more urgent request to the service was refused recently. */
  #refusesBefore({ service, rank }: Flow, now: number): boolean {
    const refusals = this.#refusals.get(service) ?? [];
    return [...refusals].some(([refused, at]) =>
      refused < rank && now - at < REFUSAL_MEMORY_MS
    );
  }

  /**
   * Computes the places of the waiting requests of a key's rank, if they are not
   * current.
   *
   * @returns the monotonic time in ms.
   */
  refresh({ flow, waiting }: SharedKey): number {
    const now = this.#sources.now();
    const current = waiting === undefined ||
      now - waiting.refreshedAt < REFRESH_MS;
    if (current) return now;
    waiting.refreshedAt = now;
    this.#placeFlows(waiting, now);
    if (flow.rank > 0) this.#promote(waiting, flow, now);
    return now;
  }

  /** Counts the earlier requests of each flow, those on time first. */
  #placeFlows(waiting: WaitingRank, now: number): void {
    const ordered = [...waiting.keys].sort((one, other) =>
      one.arrivedAt - other.arrivedAt
    );
    const flows = new Map<string, { onTime: number; late: number }>();
    let greatest: number | undefined;
    for (const key of ordered) {
      const { workspace } = key.flow;
      let counts = flows.get(workspace);
      if (counts === undefined) {
        flows.set(workspace, counts = { onTime: 0, late: 0 });
      }
      const late = key.latestStart < now;
      key.keptUntil = -Infinity;
      if (late && counts.late === 0) {
        greatest ??= this.shares.greatestShare(key.flow, now);
        const underserved =
          this.shares.share(key.flow, now) < UNDERSERVED_PART * greatest;
        if (underserved) key.keptUntil = now + KEPT_PLACE_MS;
      }
      const before = late ? counts.late++ : counts.onTime++;
      key.ahead = Math.floor(before / REQUESTS_PER_TURN);
    }
  }

  /** Sends a request first when the minimum share of its rank allows it. */
  #promote(waiting: WaitingRank, flow: Flow, now: number): void {
    const { service, rank } = flow;
    const [first] = [...waiting.keys].filter(({ promoted }) => !promoted)
      .sort((one, other) => precedes(one, other, now) ? -1 : 1);
    const costBefore = this.shares.costBefore(service, rank);
    const own = waiting.keys.size;
    const all = own + this.#sources.othersWaiting(service, rank);
    const earned = MINIMUM_SHARE * (costBefore - waiting.costBefore) * own /
      all;
    waiting.costBefore = costBefore;
    if (first === undefined || earned <= 0) return;
    if (this.#refusesBefore(flow, now)) return;
    const cost = this.#costOf(first);
    waiting.credit = Math.min(cost, waiting.credit + earned);
    if (waiting.credit < cost) return;
    first.promoted = true;
    waiting.credit -= cost;
  }

  /** Cost of a request: that of recent ones of its rank, if it is known. */
  #costOf({ flow, cost }: SharedKey): number {
    return this.shares.typicalCost(flow) || cost;
  }
}

function rankId({ service, rank }: Flow): string {
  return `${rank} ${service}`;
}
