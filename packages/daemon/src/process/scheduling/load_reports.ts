/**
 * Load reports of the runners, polled from their `GET /load`.
 *
 * @module
 */
import http from "node:http";
import type { Clock } from "@umbermast/coordination";
import { ClientAgent } from "@umbermast/coordination/client_socket";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type * as Scope from "effect/Scope";
import type { Runner } from "../runner.ts";
import type { RunnerDirectory } from "../runner_directory.ts";

/** The load that a runner reports. It is delayed and may be wrong. */
export interface LoadReport {
  /** Requests in the runner's batch. */
  readonly running: number;
  /** Requests queued inside the runner. */
  readonly waiting: number;
  /** Requests that the runner can run concurrently; 0 if not reported. */
  readonly slots: number;
  /** Duration of the last decode step in milliseconds; 0 if there is none. */
  readonly stepMs: number;
  /** Whether the runner is shutting down. */
  readonly leaving: boolean;
  /** Monotonic milliseconds of this process when the report was received. */
  readonly receivedAt: number;
}

const DEFAULT_POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 1_000;
const MAX_BODY_BYTES = 64 * 1024;

/** Polls runners and keeps the latest report of each. */
export class LoadReports {
  readonly #clock: Clock;
  readonly #intervalMs: number;
  readonly #agent = new ClientAgent({ keepAlive: true });
  readonly #reports = new Map<string, LoadReport>();
  readonly #listeners = new Set<(runner: string) => void>();
  readonly #watched = new Set<string>();
  #updatePolls: () => void = () => {};

  constructor(options: {
    readonly clock: Clock;
    /** Milliseconds between two polls of a runner; 500 by default. */
    readonly intervalMs?: number;
  }) {
    this.#clock = options.clock;
    this.#intervalMs = options.intervalMs ?? DEFAULT_POLL_INTERVAL_MS;
  }

  /** The latest report of a runner, however old. */
  get(runner: string): LoadReport | undefined {
    return this.#reports.get(runner);
  }

  /** Stores a report and notifies the listeners. */
  record(runner: string, report: LoadReport): void {
    this.#reports.set(runner, report);
    for (const listener of this.#listeners) listener(runner);
  }

  /**
   * Calls the listener after each report.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (runner: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Starts polling the runners of a service. Only the daemon that is the
   * service's broker needs their reports; polling all runners from all daemons
   * would cost each runner hundreds of polls a second in a full-size deployment.
   */
  watch(service: string): void {
    if (this.#watched.has(service)) return;
    this.#watched.add(service);
    this.#updatePolls();
  }

  /** Stops polling the runners of a service. */
  stopWatching(service: string): void {
    if (this.#watched.delete(service)) this.#updatePolls();
  }

  /** Polls the runners of watched services, one fibre each, until the scope closes. */
  poll(directory: RunnerDirectory): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const running = new Map<string, Fiber.Fiber<void>>();
      this.#updatePolls = () => {
        const toPoll = this.#runnersToPoll(directory);
        for (const [key, fiber] of running) {
          if (toPoll.has(key)) continue;
          running.delete(key);
          this.#reports.delete(key.slice(key.indexOf(" ") + 1));
          Effect.runFork(Fiber.interrupt(fiber));
        }
        for (const [key, runner] of toPoll) {
          if (running.has(key)) continue;
          const poll = Effect.forkIn(this.#pollRunner(runner), scope);
          running.set(key, Effect.runSync(poll));
        }
      };
      this.#updatePolls();
      const unsubscribe = directory.subscribe(() => this.#updatePolls());
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          unsubscribe();
          this.#updatePolls = () => {};
          this.#agent.destroy();
        })
      );
    });
  }

  #runnersToPoll(directory: RunnerDirectory): ReadonlyMap<string, Runner> {
    const watched = [...this.#watched].flatMap((service) =>
      directory.runners(service)
    );
    return new Map(watched.map((runner) => [keyOf(runner), runner]));
  }

  #pollRunner(runner: Runner): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const body = yield* this.#fetch(runner);
        const report = parseReport(body, this.#clock.monotonic());
        if (report !== undefined) this.record(runner.name, report);
        yield* Effect.sleep(this.#intervalMs);
      }
    });
  }

  /** The body of one report; empty if none arrives in time. */
  #fetch(runner: Runner): Effect.Effect<string> {
    return Effect.callback<string>((resume) => {
      const request = http.get({
        host: runner.address,
        port: runner.port,
        path: "/load",
        agent: this.#agent,
      }, (response) => {
        const chunks: Buffer[] = [];
        let size = 0;
        response.on("data", (chunk: Buffer) => {
          size += chunk.length;
          if (size > MAX_BODY_BYTES) return request.destroy();
          chunks.push(chunk);
        });
        response.on(
          "end",
          () => finish(Buffer.concat(chunks).toString("utf8")),
        );
        response.on("error", () => finish(""));
        response.on("close", () => finish(""));
      });
      // The whole exchange has a time-out: a runner that accepts the connection
      // but never responds would otherwise block its poll forever, and its report
      // would stay stale.
      const timer = setTimeout(() => request.destroy(), POLL_TIMEOUT_MS);
      const finish = (body: string) => {
        clearTimeout(timer);
        resume(Effect.succeed(body));
      };
      request.on("error", () => finish(""));
      request.on("close", () => finish(""));
      return Effect.sync(() => {
        clearTimeout(timer);
        request.destroy();
      });
    });
  }
}

function keyOf(runner: Runner): string {
  return `${runner.address}:${runner.port}/${runner.incarnation} ${runner.name}`;
}

/** Parses a report; `undefined` if the body is not a JSON object. */
export function parseReport(
  body: string,
  receivedAt: number,
): LoadReport | undefined {
  if (body === "") return undefined;
  try {
    const value: unknown = JSON.parse(body);
    if (typeof value !== "object" || value === null) return undefined;
    const fields = new Map(Object.entries(value));
    return {
      running: nonNegative(fields.get("running")),
      waiting: nonNegative(fields.get("waiting")),
      slots: nonNegative(fields.get("slots")),
      stepMs: nonNegative(fields.get("stepMs")),
      leaving: fields.get("leaving") === true,
      receivedAt,
    };
  } catch {
    return undefined;
  }
}

function nonNegative(value: unknown): number {
  if (typeof value !== "number" || !Number.isFinite(value)) return 0;
  return Math.max(0, value);
}
