/**
 * Faults done to a running stack.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { Stack, StackDaemon, StackRunner } from "@umbermast/testing";
import type { FaultKind } from "./faults_schedule.ts";

const MS_PER_SECOND = 1_000;
const LIST_LAG_MS = 2_000;
const STRAGGLE_FACTOR = 8;
const STORE_DELAY_MS = 500;
const ANSWERS_HELD = 20;
const ANSWER_HOLD_MS = 400;
const CRASHES = 4;
const LOST_REPLIES = 200;

/** A runner that was told to leave. */
export interface Departure {
  readonly runner: string;
  readonly url: string;
  /** Epoch milliseconds of the first sign, and of its return. */
  readonly at: number;
  readonly until: number;
}

/** A daemon that was told to end. */
export interface Shutdown {
  readonly url: string;
  /** Epoch milliseconds. */
  readonly at: number;
}

/** A stack whose daemons come and go. */
export class FaultyStack {
  readonly departures: Departure[] = [];
  readonly shutdowns: Shutdown[] = [];
  readonly #stack: Stack;
  readonly #random: () => number;
  readonly #daemons: StackDaemon[];

  constructor(stack: Stack, random: () => number) {
    this.#stack = stack;
    this.#random = random;
    this.#daemons = [...stack.daemons];
  }

  /** Daemons that the balancer sends to at present. */
  get daemons(): readonly StackDaemon[] {
    return this.#daemons;
  }

  /** Strikes, holds and ends one fault. */
  async strike(kind: FaultKind, holdS: number): Promise<void> {
    switch (kind) {
      case "daemon-kill":
        return await this.#replace("SIGKILL", holdS);
      case "daemon-leave":
        return await this.#replace("SIGTERM", holdS);
      case "daemon-stop":
        return await this.#stop(holdS);
      case "runner-crash":
        return await this.#order(this.#anyRunner(), holdS, {
          fault: "crash-mid-answer",
          afterTokens: 3,
          count: CRASHES,
        });
      case "straggler":
        return await this.#order(this.#anyRunner(), holdS, {
          fault: "straggle",
          factor: STRAGGLE_FACTOR,
        });
      case "runner-leaving":
        return await this.#leave(holdS);
      case "store-down":
        return await this.#store(holdS, { fault: "down" });
      case "store-slow":
        return await this.#store(holdS, {
          fault: "slow",
          delayMs: STORE_DELAY_MS,
        });
      case "store-lose-reply":
        return await this.#store(holdS, {
          fault: "lose-reply",
          count: LOST_REPLIES,
        });
      case "runner-link-silent":
        this.#anyRunner().proxy?.order({ fault: "silent" });
        return await pause(holdS * MS_PER_SECOND);
      case "caller-link-silent":
        this.#pick(this.#daemons).callerProxy?.order({ fault: "silent" });
        return await pause(holdS * MS_PER_SECOND);
      case "answers-reordered":
        return await this.#reorder(holdS);
      case "hosts-frozen":
        return await this.#order(this.#stack.platform, holdS, {
          fault: "frozen-hosts",
        });
    }
  }

  async #order(
    at: { readonly url: string },
    holdS: number,
    fault: object,
  ): Promise<void> {
    await this.#stack.control(at.url, { ...fault, seconds: holdS });
    await pause(holdS * MS_PER_SECOND);
  }

  #store(holdS: number, fault: object): Promise<void> {
    return this.#order(this.#stack.platform, holdS, {
      ...fault,
      part: "objects",
    });
  }

  /** Ends a daemon and starts another in its place. */
  async #replace(
    signal: "SIGKILL" | "SIGTERM",
    holdS: number,
  ): Promise<void> {
    const at = Math.floor(this.#random() * this.#daemons.length);
    const [daemon] = this.#daemons.splice(at, 1);
    if (daemon === undefined) return;
    if (signal === "SIGTERM") {
      this.shutdowns.push({ url: daemon.url, at: Date.now() });
    }
    daemon.child.kill(signal);
    await pause(holdS * MS_PER_SECOND);
    await daemon.child.ended;
    this.#daemons.push(await this.#stack.startDaemon(daemon.name));
  }

  /** Pauses a daemon; the balancer goes on sending to it. */
  async #stop(holdS: number): Promise<void> {
    const daemon = this.#pick(this.#daemons);
    daemon.child.kill("SIGSTOP");
    await pause(holdS * MS_PER_SECOND);
    daemon.child.kill("SIGCONT");
  }

  async #leave(holdS: number): Promise<void> {
    const runner = this.#anyRunner();
    const at = Date.now();
    // The runner says so itself; the platform's list follows after its lag.
    const leaving = this.#order(runner, holdS, { fault: "leaving" });
    await this.#stack.setHost({ ...runner.host, state: "leaving" }, {
      lagMs: LIST_LAG_MS,
    });
    await leaving;
    await this.#stack.setHost(runner.host);
    const { name, url } = runner;
    this.departures.push({ runner: name, url, at, until: Date.now() });
  }

  async #reorder(holdS: number): Promise<void> {
    for (const runner of this.#stack.runners) {
      runner.proxy?.order({
        fault: "reorder",
        holdMs: ANSWER_HOLD_MS,
        count: ANSWERS_HELD,
      });
    }
    await pause(holdS * MS_PER_SECOND);
    for (const runner of this.#stack.runners) {
      runner.proxy?.order({ fault: "none" });
    }
  }

  #anyRunner(): StackRunner {
    const service = this.#random() < 0.5
      ? this.#stack.deployment.modelService
      : this.#stack.deployment.plainService;
    return this.#pick(
      this.#stack.runners.filter((runner) => runner.service === service),
    );
  }

  #pick<A>(items: readonly A[]): A {
    const found = items[Math.floor(this.#random() * items.length)];
    if (found === undefined) throw new RangeError("Cannot pick: no items");
    return found;
  }
}
