/**
 * Handles one request, from its head to its final response.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Quarantine } from "../process/crash_record.ts";
import type { RequestHead } from "./dialect.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { logQuarantine } from "./exchange_log.ts";
import { fingerprintOf } from "./fingerprint.ts";
import { outcomeName } from "./outcome.ts";
import type { Outcome } from "./outcome.ts";
import { LocalOutcomes } from "./local_outcomes.ts";
import { Progress } from "./progress.ts";
import { RunnerSearch } from "./runner_search.ts";
import { AttemptExecutor } from "./attempt_executor.ts";
import { routeRequest } from "./routed_request.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { readBody } from "./read_body.ts";

/** Minimum time left, in ms, for another attempt. */
const LEAST_TIME_MS = 30;
/** Maximum number of runners tried in turn when none of them can be reached. */
const MAX_UNSENT = 3;

/** Handles one request: selects runners, sends attempts and retries. */
export class Exchange {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;
  readonly #own: LocalOutcomes;
  readonly #tries: AttemptExecutor;
  /** Whether the request body is still being received. */
  #reading = false;

  constructor(daemon: Daemon, caller: Caller) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = new Progress(daemon, caller);
    this.#own = new LocalOutcomes(daemon, caller, this.#progress);
    this.#tries = new AttemptExecutor(daemon, caller, {
      progress: this.#progress,
      own: this.#own,
    });
  }

  /** Resolves when the caller has its final response or has disconnected. */
  async run(): Promise<void> {
    const call = this.#daemon.dialect.parseRequest(
      this.#caller.request.rawHeaders,
    );
    const found = routeRequest(this.#daemon, this.#caller.request, call);
    if ("status" in found) {
      return this.#end(call, { kind: "refused", refusal: found });
    }
    const timer = this.#startTimer(found);
    this.#caller.response.once(
      "close",
      () => this.#tries.cancel("caller left"),
    );
    try {
      const outcome = await this.#serve(found);
      this.#end(call, outcome, found);
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Starts the request's time-out. The caller gets its final response when the
   * time-out expires, not some time after it.
   */
  #startTimer({ head: call, route }: RoutedRequest): NodeJS.Timeout {
    const span = Math.min(route.timeoutMs, call.deadlineMs ?? Infinity);
    this.#progress.expiresAt = this.#progress.startedAt + span;
    return setTimeout(() => {
      this.#progress.expired = true;
      this.#tries.cancel("timeout");
      if (!this.#reading) return;
      this.#caller.refuse({ status: 408, code: "body_timeout", close: true });
    }, span);
  }

  async #serve(subject: RoutedRequest): Promise<Outcome> {
    const limits = this.#daemon.routingTable()!.limits;
    this.#reading = true;
    const whole = await readBody(this.#caller.request, limits.maxBodyBytes);
    this.#reading = false;
    if (whole.kind === "broken") return { kind: "left" };
    if (whole.kind === "too-large") {
      const refusal = { status: 413, code: "body_too_large", close: true };
      return { kind: "refused", refusal };
    }
    this.#progress.fingerprint = this.#fingerprintOf(subject, whole.body);
    this.#daemon.retryBudget(subject.service.name).recordRequest(
      this.#daemon.now(),
    );
    const quarantine = this.#quarantine();
    if (quarantine !== undefined) return this.#refuse(subject, quarantine);
    return await this.#tryRunners(subject, whole.body);
  }

  #fingerprintOf(
    { head: call, workspace }: RoutedRequest,
    body: Buffer,
  ): string {
    const { method, url } = this.#caller.request;
    return fingerprintOf({
      host: call.host,
      method: method!,
      target: url!,
      workspace: workspace?.name,
      body,
    });
  }

  async #tryRunners(subject: RoutedRequest, body: Buffer): Promise<Outcome> {
    const progress = this.#progress;
    let fallback: (() => Outcome) | undefined;
    const search = new RunnerSearch(this.#daemon, subject, {
      receivedAt: progress.startedAt,
      expiresAt: progress.expiresAt,
      isAbandoned: () => progress.abandoned || this.#quarantine() !== undefined,
    });
    for (;;) {
      if (this.#caller.disconnected) return { kind: "left" };
      const over = progress.expired || progress.remainingMs < LEAST_TIME_MS;
      if (over) return fallback?.() ?? this.#own.timeout();
      const choice = await search.find({
        tried: progress.triedRunners,
        noRunnerReached: progress.attempts === 0,
      });
      const quarantine = this.#quarantine();
      if (quarantine !== undefined) {
        return fallback?.() ?? this.#refuse(subject, quarantine);
      }
      if (choice === "overloaded") return fallback?.() ?? this.#own.overload();
      if (choice === undefined) {
        return fallback?.() ?? this.#own.refusal("no_runner");
      }
      const tried = await this.#tries.execute(choice, subject, body);
      if (tried.kind === "done") return tried.outcome;
      const again = !progress.expired && this.#mayTryAgain(subject);
      this.#daemon.log.decision("attempt_failed", subject.head.id, {
        fingerprint: progress.fingerprint,
        runner: choice.runner.id,
        reason: tried.reason,
        attempt: progress.attempts,
        again,
      });
      if (progress.expired) return this.#own.timeout();
      fallback = tried.fallback;
      if (!again) return fallback();
    }
  }

  #mayTryAgain({ route, service }: RoutedRequest): boolean {
    const { abandoned: over, attempts, mayHaveRun, triedRunners: tried } =
      this.#progress;
    if (over || attempts >= route.maxAttempts) return false;
    if (mayHaveRun && route.repetition === "never") return false;
    // Attempts that never reached a runner do not count as retries.
    if (attempts === 0) return tried.size < MAX_UNSENT;
    return this.#daemon.retryBudget(service.name).take(this.#daemon.now());
  }

  /** Returns the request's quarantine if runners crash while running it. */
  #quarantine(): Quarantine | undefined {
    const { fingerprint } = this.#progress;
    return this.#daemon.crashes.quarantine(fingerprint, this.#daemon.now());
  }

  #refuse({ head: call }: RoutedRequest, quarantine: Quarantine): Outcome {
    const { fingerprint } = this.#progress;
    logQuarantine(this.#daemon, call.id, { quarantine, fingerprint });
    return this.#own.quarantine(quarantine);
  }

  #end(call: RequestHead, ended: Outcome, subject?: RoutedRequest): void {
    const gone = this.#caller.disconnected && ended.kind !== "answered";
    const outcome: Outcome = gone ? { kind: "left" } : ended;
    if (outcome.kind === "refused") this.#caller.refuse(outcome.refusal);
    if (outcome.kind === "broken") this.#caller.abort();
    const { startedAt, attempts } = this.#progress;
    const elapsedMs = this.#daemon.now() - startedAt;
    const result = outcomeName(outcome);
    this.#daemon.metrics.ended(
      subject?.service.name ?? "none",
      result,
      elapsedMs,
    );
    this.#daemon.log.decision("request_ended", call.id, {
      route: subject?.route.name,
      outcome: result,
      reason: outcome.kind === "broken" ? outcome.reason : undefined,
      attempts,
      events: this.#tries.eventCount,
      elapsed_ms: Math.round(elapsedMs),
      config: subject?.version ?? this.#daemon.routingTable()?.version,
    });
  }
}
