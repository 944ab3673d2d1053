/**
 * The runners of one service: which one a request is given to.
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
/** A prefix draws a request to a runner this much fuller than the emptiest. */
const AFFINITY_MARGIN = 0.25;
/** Share of all slots that only the highest tier may use. */
const HEADROOM_SHARE = 0.05;
const MAX_RUNNERS_UP = 2;

/** A runner chosen for an ask. */
export interface Choice {
  readonly _tag: "Choice";
  readonly runner: Runner;
  readonly why: "affinity" | "least_occupied" | "probe";
  /** The next best, for the log. */
  readonly runnersUp: readonly string[];
}

/** Every runner that may serve the ask is full. */
export interface Busy {
  readonly _tag: "Busy";
}

/** No runner may serve the ask. */
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

  /** Takes a new table. */
  setTable(table: Table, service: string): void {
    this.#classes = new Map(table.classes.map((it) => [it.name, it]));
    this.#service = table.services.find((it) => it.name === service);
    for (const state of this.#states.values()) {
      state.limit.setBase(this.#baseSlots);
    }
  }

  /** Takes a new list of runners; those that are gone lose their slots. */
  setRunners(runners: readonly Runner[]): readonly GrantedSlot[] {
    const lost: GrantedSlot[] = [];
    const incarnations = new Map(
      runners.map((it) => [it.name, it.incarnation]),
    );
    for (const previous of this.#runners) {
      if (incarnations.get(previous.name) === previous.incarnation) continue;
      // A replaced host shares nothing with the former one but its name.
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

  /** Runners that may be given something new. */
  live(): readonly Runner[] {
    return this.#runners.filter((it) => it.state === "live");
  }

  /** A class of the table in force. */
  classOf(name: string): Class | undefined {
    return this.#classes.get(name);
  }

  /** Chooses a runner for an ask of the given tier. */
  choose(
    ask: AskMessage,
    at: {
      readonly now: number;
      /** The ask is of the highest tier. */
      readonly highest: boolean;
      /** Share of each runner's slots that may be used; 1 by default. */
      readonly share?: number;
    },
  ): Choice | Busy | None {
    const candidates = this.#runners.filter((it) =>
      it.state === "live" && !ask.excluded.includes(it.name) &&
      this.state(it.name).report?.leaving !== true
    );
    if (candidates.length === 0) return { _tag: "None" };
    const probe = this.#chooseProbe(candidates, at.now);
    if (probe !== undefined) return probe;
    const inService = candidates.filter((it) => this.#isInService(it));
    const open = (inService.length > 0 ? inService : candidates).filter((it) =>
      this.#hasFreeSlot(it, at) && this.state(it.name).ejection.admits(at.now)
    );
    if (open.length === 0) return { _tag: "Busy" };
    if (!at.highest && !this.#leavesHeadroom(at.now)) return { _tag: "Busy" };
    return this.#chooseBest(ask, { open, now: at.now });
  }

  #chooseBest(
    ask: AskMessage,
    at: { readonly open: readonly Runner[]; readonly now: number },
  ): Choice {
    const ranked = at.open
      .map((runner) => ({
        runner,
        occupancy: this.state(runner.name).occupancy(at.now),
      }))
      .sort((left, right) => left.occupancy - right.occupancy);
    const least = ranked[0]!;
    const preferred = this.#switches.affinity
      ? this.#affinity.find(ask.prefixDigest)
      : undefined;
    const affine = ranked.find((it) => it.runner.name === preferred);
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
      runnersUp: ranked.filter((it) => it !== chosen).slice(0, MAX_RUNNERS_UP)
        .map((it) => it.runner.name),
    };
  }

  /** An ejected runner whose time has come gets one request as a probe. */
  #chooseProbe(possible: readonly Runner[], now: number): Choice | undefined {
    if (!this.#switches.ejection) return undefined;
    const due = possible.find((it) =>
      !this.#isInService(it) && this.state(it.name).ejection.admits(now)
    );
    if (due === undefined) return undefined;
    return { _tag: "Choice", runner: due, why: "probe", runnersUp: [] };
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

  /** Takes a slot. */
  hold(held: GrantedSlot): void {
    const state = this.state(held.runner);
    state.hold(held);
    state.ejection.requestStarted(held.askId);
  }

  /** Gives a slot back without learning anything from it. */
  abandon(held: GrantedSlot): void {
    const state = this.state(held.runner);
    state.free(held.askId);
    state.ejection.requestEnded(held.askId);
  }

  get #baseSlots(): number {
    return this.#service?.slotsPerRunner ?? DEFAULT_SLOTS;
  }
}
