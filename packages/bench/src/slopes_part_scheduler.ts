/**
 * Daemons' schedulers at members, any number in one process: each asks for
 * slots at a given rate, holds each for a while, and brokers when it is the one
 * to do so.
 *
 * @module
 */
import { type Host, SYSTEM_CLOCK } from "@umbermast/coordination";
import {
  type Ask,
  type Grant,
  type Log,
  makeScheduler,
  type Runner,
  RunnerDirectory,
  type Scheduler,
  type TableSource,
} from "@umbermast/daemon";
import type { Table } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type { Meter } from "./slopes_meter.ts";
import { type RigNode, runHere, startRigNode } from "./slopes_node.ts";
import type { Part } from "./slopes_part.ts";

const WORKSPACES = 310;
const TIERS = 6;
const DEADLINE_MS = 600_000;
const PROMPT_TOKENS = 400;
const OUTPUT_TOKENS = 329;
const SLOTS_PER_RUNNER = 1_000;
const TICK_MS = 10;
const MILLIS = 1_000;

/** What this part is made from. */
export interface SchedulerConfig {
  readonly names: readonly string[];
  /** Services, each with the same number of runners. */
  readonly services: number;
}

/** What this part tells of itself. */
export interface SchedulerInfo {
  readonly hosts: readonly Host[];
}

/** What this part can be told. */
export type SchedulerCommand =
  | { readonly type: "hosts"; readonly hosts: readonly Host[] }
  /** Runners of every service. */
  | { readonly type: "runners"; readonly ports: readonly number[] }
  /** Each member asks so often and holds each slot so long. */
  | {
    readonly type: "load";
    readonly asksPerSecond: number;
    readonly holdMs: number;
  }
  /** Each member takes slots at the first of the services and keeps them. */
  | {
    readonly type: "hold";
    readonly slots: number;
    readonly services: number;
    /** Only the first of this process's members do so; all by default. */
    readonly members?: number;
  }
  | { readonly type: "counts" };

/** How asks have gone so far. */
export interface SchedulerCounts {
  readonly granted: number;
  readonly refused: number;
}

function tableOf(services: number): Table {
  return {
    classes: Array.from({ length: TIERS }, (_, tier) => ({
      name: `class-${tier}`,
      tier,
      target: { firstTokenMs: 1_500, betweenTokensMs: 64 },
      timeoutMs: DEADLINE_MS,
      minimumShare: 0.05,
    })),
    workspaces: Array.from({ length: WORKSPACES }, (_, i) => ({
      name: `workspace-${i}`,
      keyDigests: [],
      defaultClass: "class-0",
    })),
    rows: [],
    services: Array.from({ length: services }, (_, i) => ({
      name: `service-${i}`,
      kind: "model" as const,
      models: [`model-${i}`],
      checksFencing: true,
      slotsPerRunner: SLOTS_PER_RUNNER,
    })),
  };
}

function fixedTable(services: number): TableSource {
  const table = tableOf(services);
  return { current: () => table, subscribe: () => () => {} };
}

/** Lines are made and dropped: writing them is the platform's cost. */
const SILENT_LOG: Log = {
  event: () => {},
  decision: () => {},
  warning: () => {},
};

function runnersOf(
  ports: readonly number[],
  services: number,
): readonly Runner[] {
  return Array.from(
    { length: services },
    (_, service) =>
      ports.map((port, index) => ({
        name: `runner-${service}-${index}`,
        service: `service-${service}`,
        address: "127.0.0.1",
        port,
        region: "region-1",
        failureDomain: "domain-1",
        state: "live" as const,
        incarnation: 1,
      })),
  ).flat();
}

/** One member that asks. */
class Asker {
  readonly rig: RigNode;
  readonly #directory: RunnerDirectory;
  readonly #scheduler: Scheduler;
  readonly #services: number;
  #timer: NodeJS.Timeout | undefined;
  #asked = 0;
  granted = 0;
  refused = 0;

  constructor(
    rig: RigNode,
    parts: {
      readonly directory: RunnerDirectory;
      readonly scheduler: Scheduler;
      readonly services: number;
    },
  ) {
    this.rig = rig;
    this.#directory = parts.directory;
    this.#scheduler = parts.scheduler;
    this.#services = parts.services;
  }

  setRunners(ports: readonly number[]): void {
    this.#directory.replace(runnersOf(ports, this.#services));
  }

  load(asksPerSecond: number, holdMs: number): void {
    clearInterval(this.#timer);
    const startedAt = performance.now();
    let sent = 0;
    this.#timer = setInterval(() => {
      const elapsed = (performance.now() - startedAt) / MILLIS;
      for (; sent < elapsed * asksPerSecond; sent++) void this.#use(holdMs);
    }, TICK_MS);
  }

  async hold(slots: number, services: number): Promise<void> {
    await Promise.all(
      Array.from(
        { length: slots * services },
        (_, i) => this.#acquire(i % services),
      ),
    );
  }

  async #use(holdMs: number): Promise<void> {
    const grant = await this.#acquire(this.#asked % this.#services);
    if (grant === undefined) return;
    setTimeout(() =>
      grant.release({
        outcome: "complete",
        promptTokens: PROMPT_TOKENS,
        outputTokens: OUTPUT_TOKENS,
        firstTokenMs: 300,
        betweenTokensMs: 10,
      }), holdMs);
  }

  async #acquire(service: number): Promise<Grant | undefined> {
    const taken = Effect.match(this.#scheduler.acquire(this.#ask(service)), {
      onSuccess: (grant): Grant | undefined => grant,
      onFailure: () => undefined,
    });
    const grant = await Effect.runPromise(taken);
    if (grant === undefined) this.refused += 1;
    else this.granted += 1;
    return grant;
  }

  #ask(service: number): Ask {
    const number = this.#asked++;
    const id = `${this.rig.host.name}-${number}`;
    return {
      askId: `${id}-1`,
      requestId: id,
      service: `service-${service}`,
      model: `model-${service}`,
      workspace: `workspace-${number % WORKSPACES}`,
      class: `class-${number % TIERS}`,
      promptTokens: PROMPT_TOKENS,
      prefixDigest: `prefix-${number % WORKSPACES}`,
      deadline: Date.now() + DEADLINE_MS,
      excluded: [],
    };
  }
}

class SchedulerPart implements Part {
  readonly #askers: readonly Asker[];

  constructor(askers: readonly Asker[]) {
    this.#askers = askers;
  }

  get info(): SchedulerInfo {
    return { hosts: this.#askers.map(({ rig }) => rig.host) };
  }

  async call(command: unknown): Promise<unknown> {
    const given = command as SchedulerCommand;
    switch (given.type) {
      case "hosts":
        for (const { rig } of this.#askers) rig.hostList.set(given.hosts);
        return undefined;
      case "runners":
        for (const asker of this.#askers) asker.setRunners(given.ports);
        return undefined;
      case "load":
        for (const asker of this.#askers) {
          asker.load(given.asksPerSecond, given.holdMs);
        }
        return undefined;
      case "hold":
        return await this.#hold(given);
      case "counts":
        return this.#counts();
    }
  }

  async #hold(given: SchedulerCommand & { type: "hold" }): Promise<void> {
    const askers = this.#askers.slice(0, given.members ?? Infinity);
    await Promise.all(
      askers.map((asker) => asker.hold(given.slots, given.services)),
    );
  }

  #counts(): SchedulerCounts {
    const sum = (value: (asker: Asker) => number) =>
      this.#askers.reduce((total, asker) => total + value(asker), 0);
    return {
      granted: sum(({ granted }) => granted),
      refused: sum(({ refused }) => refused),
    };
  }
}

async function startAsker(
  name: string,
  options: { readonly meter: Meter; readonly services: number },
): Promise<Asker> {
  const { meter, services } = options;
  const rig = await startRigNode(name, { meter });
  const directory = new RunnerDirectory();
  const scheduler = await runHere(makeScheduler({
    directory,
    table: fixedTable(services),
    clock: SYSTEM_CLOCK,
    log: SILENT_LOG,
    peers: rig.peers,
    membership: rig.node.membership,
  }));
  return new Asker(rig, { directory, scheduler, services });
}

/** Starts the members of a process. */
export async function makePart(config: unknown, meter: Meter): Promise<Part> {
  const { names, services } = config as SchedulerConfig;
  const askers: Asker[] = [];
  for (const name of names) {
    askers.push(await startAsker(name, { meter, services }));
  }
  return new SchedulerPart(askers);
}
