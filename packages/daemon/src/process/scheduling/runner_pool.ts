/**
 * The runners of one service: which one a request is given to.
 *
 * @module
 */
import type { Service, Table } from "@umbermast/table";
import type { Runner } from "../runner.ts";
import type { LoadReport } from "./load_reports.ts";
import type { AskMessage } from "./messages.ts";
import { PrefixHomes } from "./prefix_homes.ts";
import { type Held, RunnerState } from "./runner_state.ts";
import type { Settlement } from "./settlement.ts";
import type { Switches } from "./switches.ts";

const DEFAULT_SLOTS = 16;
const DEFAULT_STEP_MS = 10;
/** A prefix draws a request to a runner this much fuller than the emptiest. */
const AFFINITY_BOUND = 0.25;
/** Share of all slots that only the highest tier may use. */
const HEADROOM = 0.05;
/** A runner that takes this many times the median between tokens is ejected. */
const STRAGGLER_FACTOR = 2.5;
/** Steps shorter than this are noise, whatever their proportion. */
const STRAGGLER_FLOOR_MS = 6;
const RUNNERS_UP = 2;

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
  readonly #switches: Switches;
  readonly #states = new Map<string, RunnerState>();
  readonly #homes = new PrefixHomes();
  #runners: readonly Runner[] = [];
  #table: Table;
  #service: Service | undefined;

  constructor(
    service: string,
    options: { readonly table: Table; readonly switches: Switches },
  ) {
    this.#switches = options.switches;
    this.#table = options.table;
    this.setTable(options.table, service);
  }

  /** Takes a new table. */
  setTable(table: Table, service: string): void {
    this.#table = table;
    this.#service = table.services.find((it) => it.name === service);
    for (const state of this.#states.values()) state.limit.setBase(this.#base);
  }

  /** Takes a new list of runners; those that are gone lose their slots. */
  setRunners(runners: readonly Runner[]): readonly Held[] {
    const lost: Held[] = [];
    const keys = new Map(runners.map((it) => [it.name, it.incarnation]));
    for (const former of this.#runners) {
      if (keys.get(former.name) === former.incarnation) continue;
      // A replaced host shares nothing with the former one but its name.
      lost.push(...this.#states.get(former.name)?.held.values() ?? []);
      this.#states.delete(former.name);
    }
    this.#runners = runners;
    return lost;
  }

  state(runner: string): RunnerState {
    const known = this.#states.get(runner);
    if (known !== undefined) return known;
    const made = new RunnerState(this.#base);
    this.#states.set(runner, made);
    return made;
  }

  /** All states, by runner. */
  get states(): ReadonlyMap<string, RunnerState> {
    return this.#states;
  }

  /** Slots of all runners in use now. */
  slots(): number {
    let sum = 0;
    for (const runner of this.#runners) {
      if (runner.state === "live") sum += this.state(runner.name).limit.slots;
    }
    return sum;
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
    const possible = this.#runners.filter((it) =>
      it.state === "live" && !ask.excluded.includes(it.name) &&
      this.state(it.name).report?.leaving !== true
    );
    if (possible.length === 0) return { _tag: "None" };
    const probe = this.#probe(possible, at.now);
    if (probe !== undefined) return probe;
    const sound = possible.filter((it) => this.#inUse(it));
    const open = (sound.length > 0 ? sound : possible).filter((it) =>
      this.#hasRoom(it, at) && this.state(it.name).ejection.admits(at.now)
    );
    if (open.length === 0) return { _tag: "Busy" };
    if (!at.highest && !this.#leavesHeadroom(at.now)) return { _tag: "Busy" };
    return this.#best(ask, { open, now: at.now });
  }

  #best(
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
    const home = this.#switches.affinity
      ? this.#homes.find(ask.prefixDigest)
      : undefined;
    const warm = ranked.find((it) => it.runner.name === home);
    const chosen =
      warm !== undefined && warm.occupancy <= least.occupancy + AFFINITY_BOUND
        ? warm
        : least;
    if (this.#switches.affinity) {
      this.#homes.set(ask.prefixDigest, chosen.runner.name);
    }
    return {
      _tag: "Choice",
      runner: chosen.runner,
      why: chosen === warm ? "affinity" : "least_occupied",
      runnersUp: ranked.filter((it) => it !== chosen).slice(0, RUNNERS_UP)
        .map((it) => it.runner.name),
    };
  }

  /** An ejected runner whose time has come gets one request as a probe. */
  #probe(possible: readonly Runner[], now: number): Choice | undefined {
    if (!this.#switches.ejection) return undefined;
    const due = possible.find((it) =>
      !this.#inUse(it) && this.state(it.name).ejection.admits(now)
    );
    if (due === undefined) return undefined;
    return { _tag: "Choice", runner: due, why: "probe", runnersUp: [] };
  }

  #inUse(runner: Runner): boolean {
    return this.state(runner.name).ejection.cause === undefined;
  }

  #hasRoom(
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
    let all = 0;
    for (const runner of this.#runners) {
      if (runner.state !== "live" || !this.#inUse(runner)) continue;
      const state = this.state(runner.name);
      free += Math.max(0, state.freeSlots(now));
      all += state.limit.slots;
    }
    return free > Math.floor(all * HEADROOM);
  }

  /** Takes a slot. */
  hold(held: Held): void {
    const state = this.state(held.runner);
    state.hold(held);
    state.ejection.started(held.askId);
  }

  /** Learns a report. */
  report(runner: string, report: LoadReport, now: number): void {
    const state = this.state(runner);
    state.setReport(report);
    if (report.stepMs <= 0 || report.running === 0) return;
    const target = this.#tightest(state);
    if (this.#switches.adaptiveSlots && target !== undefined) {
      const saturated = state.freeSlots(now) <= 0;
      state.limit.observe(report.stepMs / target, { now, saturated });
    }
    this.#judge(runner, now);
  }

  /** Gives a slot back and learns from how it went. */
  free(
    askId: string,
    end: {
      readonly runner: string;
      readonly settlement: Settlement;
      readonly now: number;
    },
  ): Held | undefined {
    const state = this.state(end.runner);
    const saturated = state.freeSlots(end.now) <= 0;
    const held = state.free(askId);
    if (held === undefined) return undefined;
    this.#learn(state, { held, saturated, ...end });
    return held;
  }

  /** Gives a slot back without learning anything from it. */
  abandon(held: Held): void {
    const state = this.state(held.runner);
    state.free(held.askId);
    state.ejection.ended(held.askId);
  }

  /** The median time between tokens over the runners; a guess without any. */
  medianStepMs(): number {
    const steps = [...this.#states.values()]
      .map((it) => it.stepMs)
      .filter((it) => it !== undefined)
      .sort((left, right) => left - right);
    return steps[steps.length >> 1] ?? DEFAULT_STEP_MS;
  }

  #learn(
    state: RunnerState,
    end: {
      readonly held: Held;
      readonly saturated: boolean;
      readonly runner: string;
      readonly settlement: Settlement;
      readonly now: number;
    },
  ): void {
    const { settlement, now } = end;
    const { outcome } = settlement;
    if (outcome === "failed" || outcome === "silent" || outcome === "refused") {
      // A runner that crashed answers nothing; without ejection its slots free
      // at once and it draws every following request in turn.
      if (this.#switches.ejection) state.ejection.eject("failure", now);
      return;
    }
    if (settlement.betweenTokensMs !== undefined) {
      state.observeStep(settlement.betweenTokensMs);
    }
    const ratio = this.#ratio(state, end);
    if (this.#switches.adaptiveSlots && ratio !== undefined) {
      state.limit.observe(ratio, { now, saturated: end.saturated });
    }
    if (outcome === "complete") {
      this.#judge(end.runner, now, end.held.askId);
    } else state.ejection.ended(end.held.askId);
  }

  /** Observed latency over target, the worse of first and further tokens. */
  #ratio(
    state: RunnerState,
    end: { readonly held: Held; readonly settlement: Settlement },
  ): number | undefined {
    const { firstTokenMs, betweenTokensMs } = end.settlement;
    const target = this.#classOf(end.held.class)?.target;
    const first = target?.firstTokenMs ?? target?.wholeAnswerMs;
    const between = this.#tightest(state) ?? target?.betweenTokensMs;
    const ratios: number[] = [];
    if (firstTokenMs !== undefined && first !== undefined) {
      ratios.push(firstTokenMs / first);
    }
    if (betweenTokensMs !== undefined && between !== undefined) {
      ratios.push(betweenTokensMs / between);
    }
    return ratios.length === 0 ? undefined : Math.max(...ratios);
  }

  /** The tightest time between tokens promised to what runs there. */
  #tightest(state: RunnerState): number | undefined {
    const targets = state.classes
      .map((name) => this.#classOf(name)?.target.betweenTokensMs)
      .filter((it) => it !== undefined);
    return targets.length === 0 ? undefined : Math.min(...targets);
  }

  /** Ejects a straggler, or lets back one whose probe went well. */
  #judge(runner: string, now: number, probe?: string): void {
    if (!this.#switches.ejection) return;
    const state = this.state(runner);
    const cause = state.ejection.cause;
    const slow = this.#isStraggler(runner);
    if (slow && cause === undefined && this.#mayEject()) {
      state.ejection.eject("straggler", now);
    }
    if (probe === undefined || cause === undefined) return;
    if (slow) state.ejection.eject("straggler", now);
    else state.ejection.recovered();
  }

  #isStraggler(runner: string): boolean {
    const own = this.state(runner).stepMs;
    const others = this.#runners
      .filter((it) => it.name !== runner && it.state === "live")
      .map((it) => this.state(it.name).stepMs)
      .filter((it) => it !== undefined)
      .sort((left, right) => left - right);
    const median = others[others.length >> 1];
    if (own === undefined || median === undefined) return false;
    return own > STRAGGLER_FLOOR_MS && own > median * STRAGGLER_FACTOR;
  }

  /** At most half may be out: a slow median is congestion, not a straggler. */
  #mayEject(): boolean {
    const live = this.#runners.filter((it) => it.state === "live");
    const out = live.filter((it) => !this.#inUse(it)).length;
    return (out + 1) * 2 <= live.length;
  }

  #classOf(name: string) {
    return this.#table.classes.find((it) => it.name === name);
  }

  get #base(): number {
    return this.#service?.slotsPerRunner ?? DEFAULT_SLOTS;
  }
}
