/**
 * Baseline scheduler: one FIFO queue per service, least reported load.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "@umbermast/coordination";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { Runner } from "../process/runner.ts";
import type { Log } from "../process/log.ts";
import type { LoadReports } from "../process/scheduling/load_reports.ts";
import type { TableSource } from "../process/table_source.ts";
import type { Ask, Grant, Refusal } from "./ask.ts";
import type { Scheduler } from "./scheduler.ts";
import { deadlinePassed, noRunner, queueFull } from "./refusals.ts";

const GRANT_TIMEOUT_MS = 5_000;
const QUEUE_LIMIT = 2_000;
const DEFAULT_SLOTS = 16;
const RETRY_MS = 1_000;

interface WaitingAsk {
  readonly ask: Ask;
  readonly resume: (end: Effect.Effect<Grant, Refusal>) => void;
  readonly timer: NodeJS.Timeout;
}

/** Collaborators of the FIFO scheduler. */
export interface FifoDependencies {
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
}

/** Grants asks in order of arrival at the runner with the least reported load. */
export class FifoScheduler implements Scheduler {
  readonly #dependencies: FifoDependencies;
  readonly #queues = new Map<string, WaitingAsk[]>();
  /** This daemon's requests in flight, by runner. */
  readonly #inFlight = new Map<string, number>();
  /** This daemon's grants since the runner's last load report, by runner. */
  readonly #sinceReport = new Map<string, number>();

  constructor(dependencies: FifoDependencies) {
    this.#dependencies = dependencies;
    dependencies.directory.subscribe(() => this.#drainAll());
    dependencies.reports.subscribe((runner) => {
      this.#sinceReport.delete(runner);
      const found = dependencies.directory.find(runner);
      if (found !== undefined) this.#drain(found.service);
    });
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.callback<Grant, Refusal>((resume) => {
      const queue = this.#queueOf(ask.service);
      if (queue.length >= QUEUE_LIMIT) {
        return resume(Effect.fail(queueFull(ask, RETRY_MS)));
      }
      const left = ask.deadline - this.#dependencies.clock.now();
      if (left <= 0) return resume(Effect.fail(deadlinePassed(ask, RETRY_MS)));
      const waiting: WaitingAsk = {
        ask,
        resume,
        timer: setTimeout(() => {
          this.#remove(waiting);
          resume(Effect.fail(deadlinePassed(ask, RETRY_MS)));
        }, left),
      };
      queue.push(waiting);
      this.#drain(ask.service);
      return Effect.sync(() => this.#remove(waiting));
    });
  }

  #queueOf(service: string): WaitingAsk[] {
    const existing = this.#queues.get(service);
    if (existing !== undefined) return existing;
    const created: WaitingAsk[] = [];
    this.#queues.set(service, created);
    this.#dependencies.reports.watch(service);
    return created;
  }

  #remove(waiting: WaitingAsk): void {
    clearTimeout(waiting.timer);
    const queue = this.#queueOf(waiting.ask.service);
    const index = queue.indexOf(waiting);
    if (index >= 0) queue.splice(index, 1);
  }

  #drainAll(): void {
    for (const service of this.#queues.keys()) this.#drain(service);
  }

  #drain(service: string): void {
    const queue = this.#queueOf(service);
    while (queue.length > 0) {
      const head = queue[0]!;
      const runner = this.#leastLoaded(head.ask);
      if (runner === "none") {
        this.#remove(head);
        head.resume(Effect.fail(noRunner(head.ask)));
        continue;
      }
      if (runner === "busy") return;
      this.#remove(head);
      head.resume(Effect.succeed(this.#grant(head.ask, runner)));
    }
  }

  #leastLoaded(ask: Ask): Runner | "none" | "busy" {
    const { directory, table } = this.#dependencies;
    const slots =
      table.current().services.find((entry) => entry.name === ask.service)
        ?.slotsPerRunner ?? DEFAULT_SLOTS;
    const live = directory.runners(ask.service).filter((runner) =>
      runner.state === "live" && !ask.excluded.includes(runner.name)
    );
    const [first, ...others] = live;
    if (first === undefined) return "none";
    let best = first;
    for (const other of others) {
      if (this.#loadOf(other) < this.#loadOf(best)) best = other;
    }
    return this.#loadOf(best) < slots ? best : "busy";
  }

  #loadOf(runner: Runner): number {
    const report = this.#dependencies.reports.get(runner.name);
    const ownInFlight = this.#inFlight.get(runner.name) ?? 0;
    if (report === undefined) return ownInFlight;
    const reported = report.running + report.waiting;
    return Math.max(
      ownInFlight,
      reported + (this.#sinceReport.get(runner.name) ?? 0),
    );
  }

  #grant(ask: Ask, runner: Runner): Grant {
    const { clock, log } = this.#dependencies;
    log.decision("slot_granted", {
      requestId: ask.requestId,
      askId: ask.askId,
      runner: runner.name,
      load: this.#loadOf(runner),
      why: "least_load",
    });
    increment(this.#inFlight, runner.name, 1);
    increment(this.#sinceReport, runner.name, 1);
    let held = true;
    return {
      askId: ask.askId,
      runner,
      expiresAt: clock.now() + GRANT_TIMEOUT_MS,
      release: () => {
        if (!held) return;
        held = false;
        increment(this.#inFlight, runner.name, -1);
        this.#drain(ask.service);
      },
    };
  }
}

function increment(
  counts: Map<string, number>,
  key: string,
  change: number,
): void {
  counts.set(key, (counts.get(key) ?? 0) + change);
}
