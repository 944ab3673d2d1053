/**
 * Starts the processes of a measurement and talks to them.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { setTimeout as pause } from "node:timers/promises";
import type { Reading } from "./slopes_meter.ts";
import type { Sample } from "./slopes_result.ts";

/** To a child: a command, or without one a request for its counters. */
export interface ParentMessage {
  readonly id: number;
  readonly command?: unknown;
}

/** From a child; id 0 says that it is ready. */
export interface ChildMessage {
  readonly id: number;
  readonly value?: unknown;
  readonly error?: string | undefined;
}

interface Waiting {
  resolve(value: unknown): void;
  reject(error: Error): void;
}

const CHILD = fileURLToPath(new URL("./slopes_child.js", import.meta.url));
const MILLIS = 1_000;
const CALM_LIMIT_MS = 120_000;
const CALM_SAMPLE_SECONDS = 3;
/** Probes of a member that nothing else uses, a second, with room. */
export const PROBE_MESSAGES = 6;

/** A process that runs one part, which carries out `Command`s. */
export class RigProcess<Command = unknown> {
  readonly #child: ChildProcess;
  readonly #waiting = new Map<number, Waiting>();
  readonly #ended: Promise<void>;
  #nextId = 1;
  #info: unknown;

  private constructor(part: string, config: object) {
    this.#child = fork(CHILD, [part, JSON.stringify(config)], {
      execArgv: ["--expose-gc"],
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    this.#child.on("message", (message) => this.#take(message as ChildMessage));
    this.#ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.on("exit", () => {
      for (const { reject } of this.#waiting.values()) {
        reject(new Error(`Cannot go on: the process of "${part}" has ended`));
      }
    });
  }

  /** Starts a part and waits until it is ready. */
  static async start<Command>(
    part: string,
    config: object,
  ): Promise<RigProcess<Command>> {
    const process = new RigProcess<Command>(part, config);
    process.#info = await process.#answer(0);
    return process;
  }

  /** What the part tells of itself. */
  get info(): unknown {
    return this.#info;
  }

  /** Has the part carry out a command. */
  call(command: Command): Promise<unknown> {
    if (!this.#child.connected) {
      return Promise.reject(new Error("Cannot call a process that has ended"));
    }
    return this.#ask({ id: this.#nextId++, command });
  }

  /** Reads the process's counters. */
  async read(): Promise<Reading> {
    return await this.#ask({ id: this.#nextId++ }) as Reading;
  }

  /** Ends the process and waits until it is gone. */
  stop(): Promise<void> {
    this.#child.kill("SIGKILL");
    return this.#ended;
  }

  /**
   * Sends a message and waits for its answer. The channel to a child that has
   * just ended still counts as connected until its end is read, and what is
   * sent then fails with EPIPE: without the callback that would end this
   * process instead of rejecting the call.
   */
  #ask(message: ParentMessage): Promise<unknown> {
    const answer = this.#answer(message.id);
    this.#child.send(message, (error) => {
      if (error === null) return;
      this.#waiting.get(message.id)?.reject(error);
      this.#waiting.delete(message.id);
    });
    return answer;
  }

  #answer(id: number): Promise<unknown> {
    return new Promise((resolve, reject) =>
      this.#waiting.set(id, { resolve, reject })
    );
  }

  #take(message: ChildMessage): void {
    const waiting = this.#waiting.get(message.id);
    this.#waiting.delete(message.id);
    if (message.error === undefined) waiting?.resolve(message.value);
    else waiting?.reject(new Error(message.error));
  }
}

/** Starts a part in a process of its own. */
export type Start = <Command>(
  part: string,
  config: object,
) => Promise<RigProcess<Command>>;

/** Has all processes carry out a command; gives their answers in that order. */
export function callAll<Command>(
  processes: readonly RigProcess<Command>[],
  command: NoInfer<Command>,
): Promise<readonly unknown[]> {
  return Promise.all(processes.map((process) => process.call(command)));
}

/** Watches a process for a while and gives its rates at load `x`. */
export async function sampleProcess(
  process: RigProcess,
  options: { readonly x: number; readonly seconds: number },
): Promise<Sample> {
  const from = await process.read();
  await pause(options.seconds * MILLIS);
  const to = await process.read();
  const seconds = (to.atMs - from.atMs) / MILLIS;
  const rate = (key: "cpuMicros" | "bytes" | "messages" | "storeCalls") =>
    (to[key] - from[key]) / seconds;
  return {
    x: options.x,
    cpuMicros: rate("cpuMicros"),
    bytes: rate("bytes"),
    messages: rate("messages"),
    storeCalls: rate("storeCalls"),
    stateBytes: to.stateBytes,
  };
}

/** Watches a process at one load after another. */
export async function sampleLoads(
  process: RigProcess,
  options: {
    readonly loads: readonly number[];
    /** Time from the setting of a load until it is watched, in milliseconds. */
    readonly settleMs: number;
    readonly seconds: number;
    readonly setLoad: (load: number) => Promise<unknown>;
  },
): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  for (const x of options.loads) {
    await options.setLoad(x);
    await pause(options.settleMs);
    samples.push(await sampleProcess(process, { x, seconds: options.seconds }));
  }
  return samples;
}

/**
 * Waits until a process sends and receives at most so many messages a second,
 * such as its probes alone: news of members that started goes round for a while.
 * Gives up waiting, and goes on, after two minutes.
 */
export async function untilCalm(
  process: RigProcess,
  messagesPerSecond: number,
): Promise<void> {
  const until = performance.now() + CALM_LIMIT_MS;
  while (performance.now() < until) {
    const sample = await sampleProcess(process, {
      x: 0,
      seconds: CALM_SAMPLE_SECONDS,
    });
    if (sample.messages <= messagesPerSecond) return;
  }
}

/** Runs a measurement with processes that are stopped however it ends. */
export async function withProcesses<T>(
  run: (start: Start) => Promise<T>,
): Promise<T> {
  const started: RigProcess[] = [];
  try {
    return await run(async <Command>(part: string, config: object) => {
      const process = await RigProcess.start<Command>(part, config);
      started.push(process);
      return process;
    });
  } finally {
    await Promise.all(started.map((process) => process.stop()));
  }
}
