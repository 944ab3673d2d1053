/**
 * The runners of one service and the choice of one for each request.
 *
 * @module
 */
import type { Class, Service, Table } from "@umbermast/table";
import type { Runner } from "../runner.ts";
import type { AskMessage } from "./messages.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { type GrantedSlot, RunnerState } from "./runner_state.ts";
import type { SchedulerSwitches } from "./switches.ts";

const DEFAULT_SLOTS = 16;
/**
 * Highest occupancy of the runner with prefix affinity, above the least occupied
 * one, at which it is still preferred.
 */
const AFFINITY_MARGIN = 0.25;
/** Share of all slots that is reserved for the highest tier. */
const HEADROOM_SHARE = 0.05;
/** Runners-up named in the log line of a grant. */
const MAX_RUNNERS_UP = 2;

/** A runner chosen for an ask. */
export interface RunnerChoice {
  readonly _tag: "Choice";
  readonly runner: Runner;
  readonly why: "affinity" | "least_occupied" | "probe";
  /** The next best runners, for the log. */
  readonly runnersUp: readonly string[];
}

/** No runner has a slot available for the ask at present. */
export interface Busy {
  readonly _tag: "Busy";
}

/** No live runner is eligible for the ask. */
export interface None {
  readonly _tag: "None";
}

/** Slots and observations of the runners of one service. */
export class RunnerPool {
  readonly #switches: SchedulerSwitches;
  readonly #states = new Map<string, RunnerState>();
  readonly #affinity = new PrefixAffinity();
  #runners: readonly Runner[] = [];
  #classes: ReadonlyMap<string, Class> = new Map();
  #service: Service | undefined;

  constructor(
    service: string,
    options: { readonly table: Table; readonly switches: SchedulerSwitches },
  ) {
    this.#switches = options.switches;
    this.setTable(options.table, service);
  }

  /** Applies a new table. */
  setTable(table: Table, service: string): void {
    this.#classes = new Map(
      table.classes.map((definition) => [definition.name, definition]),
    );
    this.#service = table.services.find((definition) =>
      definition.name === service
    );
    for (const state of this.#states.values()) {
      state.limit.setBase(this.#baseSlots);
    }
  }

  /**
   * Applies a new list of runners.
   *
   * @returns the slots in use at removed and replaced runners.
   */
  setRunners(runners: readonly Runner[]): readonly GrantedSlot[] {
    const lost: GrantedSlot[] = [];
    const incarnations = new Map(
      runners.map((runner) => [runner.name, runner.incarnation]),
    );
    for (const previous of this.#runners) {
      if (incarnations.get(previous.name) === previous.incarnation) continue;
      // A replaced host has nothing in common with the previous one but its name.
      lost.push(...this.#states.get(previous.name)?.held.values() ?? []);
      this.#states.delete(previous.name);
    }
    this.#runners = runners;
    return lost;
  }

  state(runner: string): RunnerState {
    const existing = this.#states.get(runner);
    if (existing !== undefined) return existing;
    const created = new RunnerState(this.#baseSlots);
    this.#states.set(runner, created);
    return created;
  }

  /** Runners that accept new requests. */
  live(): readonly Runner[] {
    return this.#runners.filter((runner) => runner.state === "live");
  }

  /** A class of the current table. */
  classOf(name: string): Class | undefined {
    return this.#classes.get(name);
  }

  /** Chooses a runner for an ask. */
  choose(
    ask: AskMessage,
    at: {
      readonly now: number;
      /** Whether the ask may use the slots reserved for the highest tier. */
      readonly mayUseHeadroom: boolean;
      /** Usable share of each runner's slots; 1 by default. */
      readonly share?: number;
    },
  ): RunnerChoice | Busy | None {
    const candidates = this.#runners.filter((runner) =>
      runner.state === "live" && !ask.excluded.includes(runner.name) &&
      this.state(runner.name).report?.leaving !== true
    );
    if (candidates.length === 0) return { _tag: "None" };
    const probe = this.#chooseProbe(candidates, at.now);
    if (probe !== undefined) return probe;
    const inService = candidates.filter((runner) => this.#isInService(runner));
    const available = (inService.length > 0 ? inService : candidates).filter((
      runner,
    ) =>
      this.#hasFreeSlot(runner, at) &&
      this.state(runner.name).ejection.admits(at.now)
    );
    if (available.length === 0) return { _tag: "Busy" };
    if (!at.mayUseHeadroom && !this.#leavesHeadroom(at.now)) {
      return { _tag: "Busy" };
    }
    return this.#chooseBest(ask, { available, now: at.now });
  }

  #chooseBest(
    ask: AskMessage,
    at: { readonly available: readonly Runner[]; readonly now: number },
  ): RunnerChoice {
    const ranked = at.available
      .map((runner) => ({
        runner,
        occupancy: this.state(runner.name).occupancy(at.now),
      }))
      .sort((left, right) => left.occupancy - right.occupancy);
    const least = ranked[0]!;
    const preferred = this.#switches.affinity
      ? this.#affinity.find(ask.prefixDigest)
      : undefined;
    const affine = ranked.find((candidate) =>
      candidate.runner.name === preferred
    );
    const chosen = affine !== undefined &&
        affine.occupancy <= least.occupancy + AFFINITY_MARGIN
      ? affine
      : least;
    if (this.#switches.affinity) {
      this.#affinity.set(ask.prefixDigest, chosen.runner.name);
    }
    return {
      _tag: "Choice",
      runner: chosen.runner,
      why: chosen === affine ? "affinity" : "least_occupied",
      runnersUp: ranked.filter((candidate) => candidate !== chosen).slice(
        0,
        MAX_RUNNERS_UP,
      )
        .map((candidate) => candidate.runner.name),
    };
  }

  /** Chooses an ejected runner whose backoff has elapsed for one probe request. */
  #chooseProbe(
    candidates: readonly Runner[],
    now: number,
  ): RunnerChoice | undefined {
    if (!this.#switches.ejection) return undefined;
    const probed = candidates.find((runner) =>
      !this.#isInService(runner) && this.state(runner.name).ejection.admits(now)
    );
    if (probed === undefined) return undefined;
    return { _tag: "Choice", runner: probed, why: "probe", runnersUp: [] };
  }

  #isInService(runner: Runner): boolean {
    return this.state(runner.name).ejection.cause === undefined;
  }

  #hasFreeSlot(
    runner: Runner,
    at: { readonly now: number; readonly share?: number },
  ): boolean {
    const state = this.state(runner.name);
    if (state.freeSlots(at.now) <= 0) return false;
    const cap = Math.max(1, Math.floor(state.limit.slots * (at.share ?? 1)));
    return state.inFlight < cap;
  }

  #leavesHeadroom(now: number): boolean {
    if (!this.#switches.headroom) return true;
    let free = 0;
    let total = 0;
    for (const runner of this.#runners) {
      if (runner.state !== "live" || !this.#isInService(runner)) continue;
      const state = this.state(runner.name);
      free += Math.max(0, state.freeSlots(now));
      total += state.limit.slots;
    }
    return free > Math.floor(total * HEADROOM_SHARE);
  }

  /** Occupies a slot. */
  hold(held: GrantedSlot): void {
    const state = this.state(held.runner);
    state.hold(held);
    state.ejection.requestStarted(held.askId);
  }

  /** Frees a slot without an observation of the runner. */
  abandon(held: GrantedSlot): void {
    const state = this.state(held.runner);
    state.free(held.askId);
    state.ejection.requestEnded(held.askId);
  }

  get #baseSlots(): number {
    return this.#service?.slotsPerRunner ?? DEFAULT_SLOTS;
  }
}
