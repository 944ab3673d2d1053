/**
 * A queue that orders waiting asks for service and for load shedding.
 *
 * Tiers have strict priority. A class that has received less than its minimum
 * share of the service performed while it waited precedes all tiers. Within a
 * tier, workspaces share by weight (start-time fair queueing on estimated cost,
 * corrected when the actual cost is known).
 *
 * @module
 */
import type { Class, Table } from "@umbermast/table";
import { Flow } from "./flow.ts";
import { MinimumShares, type SlotUsage } from "./minimum_shares.ts";
import type { SchedulerSwitches } from "./switches.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** Capacity limits of a queue. */
export interface QueueBounds {
  readonly count: number;
  readonly bytes: number;
  /** Maximum number of waiting asks of one workspace in one class. */
  readonly perWorkspace: number;
}

/** Default limits, suited to a small host: about 4 MB of asks per broker. */
export const DEFAULT_BOUNDS: QueueBounds = {
  count: 8_000,
  bytes: 4 * 1024 * 1024,
  perWorkspace: 1_000,
};

/** Tier of a class that is not in the table; served after all others. */
const UNKNOWN_TIER = 1_000;

/** Result of offering an ask to the queue. */
export interface Offer {
  readonly accepted: boolean;
  /** Asks that were shed, including the offered one if it was not accepted. */
  readonly shed: readonly WaitingAsk[];
}

/** Waiting asks of one workspace and class. */
export interface Backlog {
  readonly count: number;
  readonly cost: number;
}

/** Queue of the waiting asks of one broker. */
export class FairQueue {
  readonly #switches: SchedulerSwitches;
  readonly #bounds: QueueBounds;
  readonly #flows = new Map<string, Flow>();
  readonly #shares: MinimumShares;
  /** Virtual time of each tier: the start tag of the flow served last. */
  readonly #virtualTime = new Map<number, number>();
  #classes: ReadonlyMap<string, Class> = new Map();
  #weights: ReadonlyMap<string, number> = new Map();
  /** Lowest tier number in the table, which is the highest priority. */
  #highestTier = 0;
  #count = 0;
  #bytes = 0;

  constructor(
    table: Table,
    options: {
      readonly switches: SchedulerSwitches;
      readonly bounds?: QueueBounds;
      /** If absent, minimum shares are accounted by cost only. */
      readonly usage?: SlotUsage;
    },
  ) {
    this.#switches = options.switches;
    this.#bounds = options.bounds ?? DEFAULT_BOUNDS;
    this.#shares = new MinimumShares(options.usage);
    this.setTable(table);
  }

  get length(): number {
    return this.#count;
  }

  /** Applies a new table, which also reorders asks that already wait. */
  setTable(table: Table): void {
    this.#classes = new Map(
      table.classes.map((definition) => [definition.name, definition]),
    );
    this.#shares.setClasses(this.#classes);
    this.#highestTier = Math.min(
      ...table.classes.map((definition) => this.tierOf(definition.name)),
    );
    this.#weights = new Map(
      table.rows.map((row) => [flowKey(row.workspace, row.class), row.weight]),
    );
  }

  /** Tier of a class. */
  tierOf(className: string): number {
    if (!this.#switches.tiers) return 0;
    return this.#classes.get(className)?.tier ?? UNKNOWN_TIER;
  }

  /** Whether no class of the table has a higher priority. */
  isHighest(className: string): boolean {
    return this.tierOf(className) <= this.#highestTier;
  }

  /** All waiting asks, in no particular order. */
  *all(): Generator<WaitingAsk> {
    for (const flow of this.#flows.values()) yield* flow.items;
  }

  /**
   * Adds an ask. If a limit is exceeded, sheds the newest ask of the lowest tier
   * present, from the workspace with the largest backlog relative to its weight.
   */
  offer(waiting: WaitingAsk): Offer {
    const flow = this.#flowOf(waiting);
    // The limit per workspace keeps the burst of one workspace from filling the
    // queue for all. It is not applied while a lower tier waits, as that would
    // shed a higher tier before a lower one.
    const full = flow.length >= this.#bounds.perWorkspace;
    if (full && !this.hasLowerTier(this.tierOf(flow.class))) {
      return { accepted: false, shed: [waiting] };
    }
    this.#add(flow, waiting);
    const shed: WaitingAsk[] = [];
    while (
      this.#count > this.#bounds.count || this.#bytes > this.#bounds.bytes
    ) {
      const victim = this.#nextToShed();
      if (victim === undefined) break;
      this.remove(victim);
      shed.push(victim);
    }
    return { accepted: !shed.includes(waiting), shed };
  }

  /** Removes an ask without serving it. */
  remove(waiting: WaitingAsk): boolean {
    const { workspace, class: className } = waiting.ask;
    const key = flowKey(workspace, className);
    const flow = this.#flows.get(key);
    if (flow === undefined || !flow.remove(waiting)) return false;
    this.#count--;
    this.#bytes -= waiting.bytes;
    if (flow.length === 0) this.#clearCreditIfIdle(className);
    return true;
  }

  /** Flows with waiting asks, in order of service. */
  order(): readonly Flow[] {
    const waiting = [...this.#flows.values()].filter((flow) => flow.length > 0);
    return waiting.sort((left, right) => this.#compare(left, right));
  }

  /** The ask of a flow to serve next. */
  headOf(flow: Flow, now: number): WaitingAsk | undefined {
    return flow.head(this.#switches.lateLast ? now : undefined);
  }

  /** Removes an ask to serve it and charges its cost to the flow. */
  dequeue(flow: Flow, waiting: WaitingAsk): void {
    const tier = this.tierOf(flow.class);
    this.#virtualTime.set(
      tier,
      Math.max(this.#virtualTime.get(tier) ?? 0, flow.startTag),
    );
    this.#charge(flow, waiting.cost);
    this.remove(waiting);
  }

  /** Corrects a charge by the difference between actual and estimated cost. */
  settle(
    served: { readonly workspace: string; readonly class: string },
    excessCost: number,
  ): void {
    const flow = this.#flows.get(flowKey(served.workspace, served.class));
    if (flow !== undefined) this.#charge(flow, excessCost);
  }

  /** Cost that would be served before a new ask of this workspace and class. */
  costAhead(workspace: string, className: string): number {
    const tier = this.tierOf(className);
    const ownFlow = this.#flows.get(flowKey(workspace, className));
    const ownWeight = this.#weightOf(workspace, className);
    let higher = 0;
    let same = 0;
    let weights = ownWeight;
    for (const flow of this.#flows.values()) {
      if (flow.length === 0) continue;
      const flowTier = this.tierOf(flow.class);
      if (flowTier < tier) higher += flow.cost;
      if (flowTier !== tier) continue;
      same += flow.cost;
      if (flow !== ownFlow) {
        weights += this.#weightOf(flow.workspace, flow.class);
      }
    }
    if (!this.#switches.fairQueueing) return higher + same;
    const ownShare = (ownFlow?.cost ?? 0) * weights / ownWeight;
    return higher + Math.min(same, ownShare);
  }

  /** Whether an ask of a lower tier waits. */
  hasLowerTier(tier: number): boolean {
    for (const flow of this.#flows.values()) {
      if (flow.length > 0 && this.tierOf(flow.class) > tier) return true;
    }
    return false;
  }

  /** Number and cost of the waiting asks of a workspace and class. */
  backlog(
    key: { readonly workspace: string; readonly class: string },
  ): Backlog {
    const flow = this.#flows.get(flowKey(key.workspace, key.class));
    return { count: flow?.length ?? 0, cost: flow?.cost ?? 0 };
  }

  /** Whether a class has received less than its minimum share. */
  isBelowMinimumShare(className: string): boolean {
    return this.#deficit(className) > 0;
  }

  #compare(left: Flow, right: Flow): number {
    const deficitDifference = this.#deficit(right.class) -
      this.#deficit(left.class);
    if (deficitDifference !== 0) return deficitDifference;
    const tierDifference = this.tierOf(left.class) - this.tierOf(right.class);
    if (tierDifference !== 0) return tierDifference;
    if (this.#switches.fairQueueing && left.startTag !== right.startTag) {
      return left.startTag - right.startTag;
    }
    return left.items[0]!.arrivedAt - right.items[0]!.arrivedAt;
  }

  /** Deficit of a class against its minimum share; 0 if there is none. */
  #deficit(className: string): number {
    return this.#switches.minimumShare ? this.#shares.deficit(className) : 0;
  }

  #add(flow: Flow, waiting: WaitingAsk): void {
    if (flow.length === 0) {
      // An idle flow earns no credit: it starts at the current virtual time.
      const tierTime = this.#virtualTime.get(this.tierOf(flow.class)) ?? 0;
      flow.startTag = Math.max(flow.startTag, tierTime);
    }
    flow.add(waiting);
    this.#count++;
    this.#bytes += waiting.bytes;
  }

  #charge(flow: Flow, cost: number): void {
    flow.startTag += cost / this.#weightOf(flow.workspace, flow.class);
    this.#shares.charge(flow.class, cost, this.#waitingClasses());
  }

  /** Waiting classes, each with the highest cost at the head of its flows. */
  #waitingClasses(): ReadonlyMap<string, number> {
    const headCosts = new Map<string, number>();
    for (const flow of this.#flows.values()) {
      const head = flow.items[0];
      if (head === undefined) continue;
      headCosts.set(
        flow.class,
        Math.max(headCosts.get(flow.class) ?? 0, head.cost),
      );
    }
    return headCosts;
  }

  #clearCreditIfIdle(className: string): void {
    for (const flow of this.#flows.values()) {
      if (flow.class === className && flow.length > 0) return;
    }
    this.#shares.clearCredit(className);
  }

  #nextToShed(): WaitingAsk | undefined {
    let worst: Flow | undefined;
    for (const flow of this.#flows.values()) {
      if (flow.length === 0) continue;
      if (worst === undefined || this.#shedBefore(flow, worst)) worst = flow;
    }
    return worst?.newest;
  }

  #shedBefore(left: Flow, right: Flow): boolean {
    const tierDifference = this.tierOf(left.class) - this.tierOf(right.class);
    if (tierDifference !== 0) return tierDifference > 0;
    return left.bytes / this.#weightOf(left.workspace, left.class) >
      right.bytes / this.#weightOf(right.workspace, right.class);
  }

  #weightOf(workspace: string, className: string): number {
    return this.#weights.get(flowKey(workspace, className)) ?? 1;
  }

  #flowOf(waiting: WaitingAsk): Flow {
    const { workspace, class: className } = waiting.ask;
    const key = flowKey(workspace, className);
    const existing = this.#flows.get(key);
    if (existing !== undefined) return existing;
    const created = new Flow(workspace, className);
    this.#flows.set(key, created);
    return created;
  }
}

function flowKey(workspace: string, className: string): string {
  return `${className}\n${workspace}`;
}
