/**
 * Recent cost of the requests of each workspace, over all daemons.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { NeighbourFilter } from "./runner_queue.ts";

/** The requests of one workspace to a service that have the same rank. */
export interface Flow {
  readonly service: string;
  readonly rank: number;
  /** Name of the workspace; empty for requests without a workspace. */
  readonly workspace: string;
}

/** Cost of a flow's requests since a daemon started; it never decreases. */
export interface CostSum extends Flow {
  readonly cost: number;
}

/** Cost that was added to the sum of a flow. */
export interface CostIncrease extends Flow {
  readonly cost: number;
}

/** The estimated cost of a request that was started. */
export interface Charge {
  readonly flow: Flow;
  readonly cost: number;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/** Share of one workspace in the recent cost of a rank. */
export interface ObservedShare extends Flow {
  /** From 0 to 1, regardless of the workspace's weight. */
  readonly share: number;
}

/** Options of {@linkcode WorkspaceShares}. */
export interface WorkspaceSharesOptions {
  readonly log: EventLog;
  /** Returns the weight of a workspace; 1 for all if absent. */
  readonly weightOf?: (workspace: string) => number;
}

/**
 * Units of a share: a workspace that had all recent cost of its rank has a share
 * of this, a power of two.
 */
export const SHARE_UNITS = 4_096;
/**
 * Half-life of recent cost in ms. It bounds the credit of a workspace that was
 * idle: if it then asks for all capacity, another one that asks for all, too,
 * gets nothing for this long, which must be well within the deadlines of callers
 * (3 s and more). It must also exceed the age of other daemons' sums (150 ms to
 * 450 ms) by a large factor, or shares would follow that age.
 */
const HALF_LIFE_MS = 2_000;
/**
 * Minimum of a rank's recent cost, in typical requests. Without it, the first
 * requests after an idle time would change shares by a half or a third each.
 */
const MIN_TOTAL_REQUESTS = 64;
/** Binary digits of the finest and of the coarsest grid of shares. */
const FINEST_BITS = Math.log2(SHARE_UNITS);
const COARSEST_BITS = Math.log2(MIN_TOTAL_REQUESTS);
/** Keeps rounding errors from lowering a share that is on the grid. */
const ROUNDING_ERROR = 1e-6;
/** Maximum number of workspaces that are kept for a rank of a service. */
const MAX_WORKSPACES = 310;
/** Maximum number of services and of ranks that are kept. */
const MAX_SERVICES = 64;
const MAX_RANKS = 16;
/**
 * Greatest plausible increase of a sum between two reports: 40 engines that
 * prefill 160 tokens per ms for two minutes.
 */
const MAX_INCREASE = 1e9;
/** Half-lives after which amounts are rebased, so that they stay finite. */
const REBASE_HALF_LIVES = 32;
/** Recent cost below which a workspace is forgotten. */
const FORGOTTEN_COST = 1e-3;
/** Maximum length of a name in a neighbour's report. */
const MAX_NAME_LENGTH = 200;
/** Minimum interval in ms between two log lines about invalid sums. */
const INVALID_LOG_INTERVAL_MS = 60_000;

/** What a neighbour reported of a flow. */
interface NeighbourCost {
  /** Cumulative cost in its last report. */
  reported: number;
  /** Cost since its first report. */
  added: number;
}

/** Cost of one flow. */
interface Account {
  readonly flow: Flow;
  /** Recent cost, scaled; see {@linkcode RankCosts}. */
  recent: number;
  /** Cumulative cost of this daemon's requests. */
  own: number;
  /**
   * Refunds that `own`, which must not decrease, does not include yet, scaled.
   * Later requests are set off against them.
   */
  refund: number;
  readonly neighbours: Map<string, NeighbourCost>;
}

/**
 * Costs of the flows of one rank of a service. Amounts are scaled by a factor
 * that doubles each half-life, so that they need no update while they decay.
 */
class RankCosts {
  readonly accounts = new Map<string, Account>();
  #epoch = 0;
  #total = 0;
  /** Sums over this daemon's requests, for the typical cost; scaled. */
  #charged = 0;
  #requests = 0;
  /** Cumulative cost of all flows, as far as it is known. */
  cumulative = 0;

  /** The factor by which amounts of a time are scaled. */
  scale(at: number): number {
    return 2 ** ((at - this.#epoch) / HALF_LIFE_MS);
  }

  account(flow: Flow): Account {
    const known = this.accounts.get(flow.workspace);
    if (known !== undefined) return known;
    if (this.accounts.size >= MAX_WORKSPACES) this.#evictLeast();
    const account: Account = {
      flow,
      recent: 0,
      own: 0,
      refund: 0,
      neighbours: new Map(),
    };
    this.accounts.set(flow.workspace, account);
    return account;
  }

  /** Adds recent cost, which may be negative; a flow's cost stays at least 0. */
  add(account: Account, cost: number, at: number): void {
    const change = Math.max(-account.recent, cost * this.scale(at));
    account.recent += change;
    this.#total = Math.max(0, this.#total + change);
  }

  /** Records the cost of a request of this daemon, for the typical cost. */
  recordTypical(cost: number, requests: number, at: number): void {
    const scale = this.scale(at);
    this.#charged = Math.max(0, this.#charged + cost * scale);
    this.#requests += requests * scale;
  }

  /** Mean cost of recent requests; 0 while unknown. */
  get typicalCost(): number {
    return this.#requests > 0 ? this.#charged / this.#requests : 0;
  }

  /** Recent cost of the rank, scaled, or a minimum if there is less. */
  total(now: number): number {
    const least = MIN_TOTAL_REQUESTS * this.typicalCost * this.scale(now);
    return Math.max(this.#total, least, Number.MIN_VALUE);
  }

  /**
   * Reduces the scale of all amounts before they become too large, and forgets
   * the workspaces whose cost has decayed.
   */
  rebase(now: number): void {
    if (now - this.#epoch < REBASE_HALF_LIVES * HALF_LIFE_MS) return;
    const factor = 1 / this.scale(now);
    this.#epoch = now;
    this.#charged *= factor;
    this.#requests *= factor;
    this.#total = 0;
    for (const account of this.accounts.values()) {
      account.recent *= factor;
      account.refund *= factor;
      this.#total += account.recent;
      if (account.recent < FORGOTTEN_COST) {
        this.accounts.delete(account.flow.workspace);
      }
    }
  }

  #evictLeast(): void {
    let least: Account | undefined;
    for (const account of this.accounts.values()) {
      if (least === undefined || account.recent < least.recent) least = account;
    }
    this.accounts.delete(least!.flow.workspace);
    this.#total = Math.max(0, this.#total - least!.recent);
  }
}

/**
 * Accounts the cost of requests by workspace, so that workspaces that compete
 * for too little capacity get equal parts of it by weight. It answers the load
 * of a workspace that asks for three times what all runners serve: by age alone,
 * another one that asks for 0.3 of it had 0.12 to 0.14 of its requests served.
 *
 * A share is the part of a workspace in the recent cost of its rank, and not an
 * amount: amounts differ between daemons that joined at different times or are
 * cut off, and rise for all workspaces at the start of a burst, so that each
 * daemon would see its own, fresher amounts behind those of the others.
 *
 * Daemons send each other cumulative sums. Only increases since a neighbour's
 * previous report count, so a neighbour that is lost, restarts or reports fewer
 * daemons than before neither takes away cost nor adds any.
 *
 * @example
 * ```ts
 * const charge = shares.recordStart(flow, 40, now);
 * shares.settle(charge, 52, now + 60);
 * shares.share(flow, now + 60); // 4096 if there is no other workspace
 * ```
 */
export class WorkspaceShares {
  readonly #log: EventLog;
  readonly #weightOf: (workspace: string) => number;
  readonly #services = new Map<string, Map<number, RankCosts>>();
  /** Cost that this daemon added since the last call of `takeUpdates`. */
  #changed = new Map<Account, number>();
  #invalidLoggedAt = -Infinity;
  #updatedAt: number | undefined;

  constructor({ log, weightOf = () => 1 }: WorkspaceSharesOptions) {
    this.#log = log;
    this.#weightOf = weightOf;
  }

  /** When a neighbour's sums arrived last; undefined before the first ones. */
  get updatedAt(): number | undefined {
    return this.#updatedAt;
  }

  /** Charges a workspace for a request that is about to be sent. */
  recordStart(flow: Flow, cost: number, now: number): Charge {
    const costs = this.#costs(flow);
    costs?.rebase(now);
    costs?.recordTypical(cost, 1, now);
    this.#charge(flow, cost, now);
    return { flow, cost, startedAt: now };
  }

  /**
   * Corrects a charge when the true cost is known; 0 if the request did not run.
   * The correction decays from the start of the request, like the charge.
   */
  settle({ flow, cost, startedAt }: Charge, trueCost: number): void {
    const excess = trueCost - cost;
    const costs = this.#costs(flow);
    if (excess === 0 || costs === undefined) return;
    costs.recordTypical(excess, trueCost === 0 ? -1 : 0, startedAt);
    if (excess > 0) return this.#charge(flow, excess, startedAt);
    const account = costs.account(flow);
    costs.add(account, excess, startedAt);
    account.refund -= excess * costs.scale(startedAt);
  }

  /**
   * Part of a workspace in the recent cost of its rank by its weight, in
   * {@linkcode SHARE_UNITS}; requests of the workspace with the lowest go first.
   * It is rounded down to a tolerance of about one typical request. Rounding to a
   * grid keeps the order transitive, which a tolerance between pairs would not:
   * three requests could each wait for the next one.
   *
   * @param ahead requests of the workspace that are sent before the one in
   * question.
   */
  share(flow: Flow, now: number, ahead = 0): number {
    const costs = this.#known(flow);
    if (costs === undefined) return 0;
    const scale = costs.scale(now);
    const total = costs.total(now);
    const typical = costs.typicalCost * scale;
    const recent = costs.accounts.get(flow.workspace)?.recent ?? 0;
    const weight = this.#weightOf(flow.workspace);
    const part = (recent + ahead * typical) / weight / total;
    const bits = typical > 0
      ? Math.round(Math.log2(total / typical))
      : COARSEST_BITS;
    const steps = 2 **
      Math.min(FINEST_BITS, Math.max(COARSEST_BITS, bits));
    return Math.floor(part * steps + ROUNDING_ERROR) * (SHARE_UNITS / steps);
  }

  /** Greatest share of any workspace in a rank. */
  greatestShare({ service, rank }: Flow, now: number): number {
    const costs = this.#services.get(service)?.get(rank);
    let greatest = 0;
    for (const { flow } of costs?.accounts.values() ?? []) {
      greatest = Math.max(greatest, this.share(flow, now));
    }
    return greatest;
  }

  /**
   * Mean cost of recent requests of a flow's rank, or of another rank of its
   * service if there were none; 0 while unknown.
   */
  typicalCost(flow: Flow): number {
    const known = this.#known(flow)?.typicalCost ?? 0;
    if (known > 0) return known;
    const ranks = [...this.#services.get(flow.service)?.values() ?? []];
    return ranks.find(({ typicalCost }) => typicalCost > 0)?.typicalCost ?? 0;
  }

  /**
   * Cumulative cost of the requests to a service that are more urgent than a
   * rank, as far as it is known.
   */
  costBefore(service: string, rank: number): number {
    let sum = 0;
    for (const [other, costs] of this.#services.get(service) ?? []) {
      if (other < rank) sum += costs.cumulative;
    }
    return sum;
  }

  /** Returns the flows to which this daemon added cost since the last call. */
  takeUpdates(): readonly CostIncrease[] {
    const updates = [...this.#changed].map(([{ flow }, cost]) => ({
      ...flow,
      cost,
    }));
    this.#changed = new Map();
    return updates;
  }

  /** Cumulative costs of flows at this daemon and the selected neighbours. */
  sums(
    flows: readonly Flow[],
    includes: NeighbourFilter,
  ): readonly CostSum[] {
    return flows.flatMap((flow) => {
      const account = this.#known(flow)?.accounts.get(flow.workspace);
      if (account === undefined) return [];
      let cost = account.own;
      for (const [name, { added }] of account.neighbours) {
        if (includes(name)) cost += added;
      }
      return [{ ...account.flow, cost: Math.round(cost) }];
    });
  }

  /** Returns the flows with the greatest recent cost. */
  greatest(count: number, now: number): readonly Flow[] {
    return this.#accounts(now)
      .sort((one, other) => other.recent - one.recent)
      .slice(0, count).map(({ account }) => account.flow);
  }

  /** Returns the shares of all workspaces with recent requests. */
  observed(now: number): readonly ObservedShare[] {
    return this.#accounts(now).filter(({ part }) => part > 0)
      .map(({ account, part }) => ({ ...account.flow, share: part }));
  }

  /**
   * Adds the increases of the sums that a neighbour reports.
   *
   * @returns the increases, to be sent to other neighbours.
   */
  applyUpdates(
    neighbour: string,
    updates: readonly CostSum[],
    now: number,
  ): readonly CostIncrease[] {
    if (updates.length > 0) this.#updatedAt = now;
    const valid = updates.filter(isValid);
    if (valid.length < updates.length) {
      this.#logInvalid(neighbour, updates.length - valid.length, now);
    }
    return valid.flatMap(({ cost, ...flow }) => {
      const costs = this.#costs(flow);
      if (costs === undefined) return [];
      costs.rebase(now);
      const account = costs.account(flow);
      const before = account.neighbours.get(neighbour);
      if (before === undefined) {
        account.neighbours.set(neighbour, { reported: cost, added: 0 });
        return [];
      }
      const increase = cost - before.reported;
      before.reported = cost;
      if (increase > MAX_INCREASE) this.#logInvalid(neighbour, 1, now);
      if (increase <= 0 || increase > MAX_INCREASE) return [];
      before.added += increase;
      costs.add(account, increase, now);
      costs.cumulative += increase;
      return [{ ...flow, cost: increase }];
    });
  }

  /**
   * Forgets what a neighbour reported, when its link is lost. Its requests remain
   * part of the recent cost until they have decayed.
   */
  removeNeighbour(neighbour: string): void {
    for (const ranks of this.#services.values()) {
      for (const { accounts } of ranks.values()) {
        for (const { neighbours } of accounts.values()) {
          neighbours.delete(neighbour);
        }
      }
    }
  }

  /** Returns a share that a neighbour sent, if it is valid. */
  readShare(
    neighbour: string,
    share: unknown,
    now: number,
  ): number | undefined {
    if (share === undefined) return undefined;
    const valid = typeof share === "number" && share >= 0 &&
      share <= Number.MAX_SAFE_INTEGER;
    if (valid) return share;
    this.#logInvalid(neighbour, 1, now);
    return undefined;
  }

  /** Adds cost of this daemon's requests. */
  #charge(flow: Flow, cost: number, at: number): void {
    const costs = this.#costs(flow);
    if (costs === undefined) return;
    const account = costs.account(flow);
    costs.add(account, cost, at);
    const scale = costs.scale(at);
    const setOff = Math.min(account.refund / scale, cost);
    account.refund -= setOff * scale;
    const reported = cost - setOff;
    account.own += reported;
    costs.cumulative += reported;
    this.#changed.set(account, (this.#changed.get(account) ?? 0) + reported);
  }

  #known({ service, rank }: Flow): RankCosts | undefined {
    return this.#services.get(service)?.get(rank);
  }

  /** Returns the costs of a rank, or nothing if the limits exclude it. */
  #costs(flow: Flow): RankCosts | undefined {
    const { service, rank } = flow;
    const known = this.#known(flow);
    if (known !== undefined) return known;
    const ranks = this.#services.get(service) ?? new Map<number, RankCosts>();
    const isNew = ranks.size === 0;
    if (ranks.size >= MAX_RANKS) return undefined;
    if (isNew && this.#services.size >= MAX_SERVICES) return undefined;
    const costs = new RankCosts();
    ranks.set(rank, costs);
    this.#services.set(service, ranks);
    return costs;
  }

  /** All accounts with their recent cost and their part of their rank's. */
  #accounts(now: number): {
    readonly account: Account;
    readonly recent: number;
    readonly part: number;
  }[] {
    return [...this.#services.values()].flatMap((ranks) =>
      [...ranks.values()].flatMap((costs) => {
        const scale = costs.scale(now);
        const total = costs.total(now);
        return [...costs.accounts.values()].map((account) => ({
          account,
          recent: account.recent / scale,
          part: account.recent / total,
        }));
      })
    );
  }

  #logInvalid(neighbour: string, count: number, now: number): void {
    if (now - this.#invalidLoggedAt < INVALID_LOG_INTERVAL_MS) return;
    this.#invalidLoggedAt = now;
    this.#log.event("shares_invalid", { peer: neighbour, ignored: count });
  }
}

function isValid({ service, rank, workspace, cost }: CostSum): boolean {
  return isName(service) && isName(workspace) &&
    Number.isInteger(rank) && rank >= 0 && rank < MAX_RANKS &&
    typeof cost === "number" && cost >= 0 && cost <= Number.MAX_SAFE_INTEGER;
}

function isName(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}
