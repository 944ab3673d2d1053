/**
 * Handles one request, from its head to its final response.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { CountedBody } from "../process/buffer_budget.ts";
import type { Quarantine } from "../process/crash_record.ts";
import type { Fields } from "../process/log_line.ts";
import { timerDelay } from "../process/timer_delay.ts";
import type { Runner } from "../process/runner.ts";
import type { RequestHead } from "./dialect.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import {
  logBodyRefused,
  logQuarantine,
  logVersionUnavailable,
  refusalFields,
} from "./decision_log.ts";
import { countRequest } from "./open_request.ts";
import { fingerprintOf } from "./fingerprint.ts";
import { partSuspects } from "./part_suspects.ts";
import { outcomeName } from "./outcome.ts";
import type { Outcome } from "./outcome.ts";
import { LocalOutcomes } from "./local_outcomes.ts";
import { Progress } from "./progress.ts";
import type { Expiry } from "./progress.ts";
import { RunnerSearch } from "./runner_search.ts";
import { AttemptExecutor } from "./attempt_executor.ts";
import { leavingRefusal } from "./refusals.ts";
import { routeRequest } from "./routed_request.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { exceedsMemory } from "./runner_memory.ts";
import { readBody } from "./read_body.ts";
import { resumesStream, resumeStream } from "./stream_resumption.ts";
import { RequestReturn } from "./request_return.ts";

/** Minimum time left, in ms, for another attempt. */
const MIN_ATTEMPT_TIME_MS = 30;
/** Maximum number of runners tried in turn when none of them can be reached. */
const MAX_UNREACHABLE_RUNNERS = 3;
/** Maximum time in ms for which a runner is asked before it continues a stream. */
const CONFIRM_MS = 300;
/** Maximum share of the caller's remaining time for that. */
const MAX_CONFIRM_SHARE = 0.25;
/** Maximum number of runners that are asked in turn without an answer that suits. */
const MAX_UNCONFIRMED_RUNNERS = 4;

/** Handles one request: selects runners, sends attempts and retries. */
export class Exchange {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;
  readonly #outcomes: LocalOutcomes;
  readonly #attempts: AttemptExecutor;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the request body is still being received. */
  #receivingBody = false;

  constructor(daemon: Daemon, caller: Caller) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = new Progress(daemon, caller);
    this.#outcomes = new LocalOutcomes(daemon, caller, this.#progress);
    this.#attempts = new AttemptExecutor(daemon, caller, {
      progress: this.#progress,
      outcomes: this.#outcomes,
    });
  }

  /** Resolves when the caller has its final response or has disconnected. */
  async run(): Promise<void> {
    const head = this.#daemon.dialect.parseRequest(
      this.#caller.request.rawHeaders,
    );
    if (!countRequest(this.#daemon.requests, this.#caller)) {
      return this.#finish(head, this.#outcomes.tooMany());
    }
    const routed = routeRequest(this.#daemon, this.#caller.request, head);
    if ("status" in routed) {
      return this.#finish(head, { kind: "refused", refusal: routed });
    }
    const { head: { deadlineMs }, route, service: { name, engine } } = routed;
    const tooLarge = engine !== undefined && exceedsMemory(head, engine) &&
      this.#daemon.scheduling.isAdaptive(name);
    if (tooLarge) {
      const refusal = { status: 413, code: "memory_exceeded", close: true };
      return this.#finish(head, { kind: "refused", refusal }, routed);
    }
    const timeoutMs = Math.min(route.timeoutMs, deadlineMs ?? Infinity);
    this.#startTimer(this.#progress.startedAt + timeoutMs);
    this.#caller.response.once(
      "close",
      () => this.#attempts.cancel("caller disconnected"),
    );
    try {
      const outcome = await this.#serve(routed);
      this.#finish(head, outcome, routed);
    } finally {
      clearTimeout(this.#timer);
    }
  }

  /** Gives the caller its final response soon, as the daemon is about to exit. */
  stop(): void {
    this.#expire("stopped");
  }

  /** Ends a response that is still open, without its end. */
  abort(): void {
    this.#caller.abort();
  }

  /**
   * Starts the request's time-out. The caller gets its final response when the
   * time-out expires, not some time after it.
   */
  #startTimer(expiresAt: number): void {
    clearTimeout(this.#timer);
    this.#progress.expiresAt = expiresAt;
    this.#timer = setTimeout(
      () => this.#expire("timeout"),
      timerDelay(this.#progress.remainingMs),
    );
  }

  #expire(expiry: Expiry): void {
    this.#progress.expiry = expiry;
    this.#attempts.cancel(expiry);
    if (!this.#receivingBody) return;
    this.#caller.refuse({ status: 408, code: "body_timeout", close: true });
  }

  /** Ends the request while its body hardly arrives; others need the room. */
  #refuseStalledBody(): void {
    this.#caller.refuse({ status: 408, code: "body_stalled", close: true });
  }

  /** Finds the place that the request had when it was refused before. */
  #findPlace(routed: RoutedRequest): void {
    if (!this.#daemon.scheduling.isAdaptive(routed.service.name)) return;
    const returning = new RequestReturn(this.#daemon, routed, this.#progress);
    this.#progress.returning = returning;
    // The caller's time counts from its first try. Without a body, the place may be
    // that of another caller.
    if (returning.place === undefined || !this.#progress.hasBody) return;
    const { expiresAt } = returning.place;
    if (expiresAt < this.#progress.expiresAt) this.#startTimer(expiresAt);
  }

  async #serve(routed: RoutedRequest): Promise<Outcome> {
    const { buffers } = this.#daemon;
    const body = buffers.openBody(
      this.#caller.request.socket,
      () => this.#refuseStalledBody(),
    );
    try {
      return await this.#receive(routed, body);
    } finally {
      buffers.release(body, this.#daemon.now());
    }
  }

  /** Receives the body of the request, and serves it. */
  async #receive(
    routed: RoutedRequest,
    counted: CountedBody,
  ): Promise<Outcome> {
    const { buffers } = this.#daemon;
    const limits = this.#daemon.routingTable()!.limits;
    this.#receivingBody = true;
    const received = await readBody(this.#caller.request, {
      maxBytes: limits.maxBodyBytes,
      reserve: (size, arrived) =>
        buffers.reserve(counted, size, { now: this.#daemon.now(), arrived }),
    });
    this.#receivingBody = false;
    buffers.bodyArrived(counted);
    if (received.kind === "broken") return { kind: "left" };
    if (received.kind === "no-room") {
      logBodyRefused(this.#daemon, routed, this.#caller.request);
      return this.#outcomes.buffersFull();
    }
    if (received.kind === "too-large") {
      const refusal = { status: 413, code: "body_too_large", close: true };
      return { kind: "refused", refusal };
    }
    // The time to accept requests may have passed while the body arrived.
    if (this.#daemon.closed) {
      return { kind: "refused", refusal: leavingRefusal() };
    }
    const fingerprint = this.#fingerprintOf(routed, received.body);
    this.#progress.fingerprint = fingerprint;
    const { remainingMs } = this.#progress;
    const resumed = resumesStream(routed)
      ? await resumeStream(this.#daemon, routed, { fingerprint, remainingMs })
      : { routed, origin: undefined };
    if ("status" in resumed) return { kind: "refused", refusal: resumed };
    this.#progress.origin = resumed.origin;
    return await this.#sendToRunners(resumed.routed, received.body);
  }

  /** Sends a request to runners, unless it is known to crash them. */
  async #sendToRunners(
    routed: RoutedRequest,
    body: Buffer,
  ): Promise<Outcome> {
    this.#progress.suspects = [
      this.#progress.fingerprint,
      ...partSuspects(routed),
    ];
    this.#progress.hasBody = body.length > 0;
    this.#daemon.retryBudget(routed.service.name).recordRequest(
      this.#daemon.now(),
    );
    const quarantine = this.#quarantine();
    if (quarantine !== undefined) return this.#refuse(routed, quarantine);
    this.#findPlace(routed);
    return await this.#attemptOnRunners(routed, body);
  }

  #fingerprintOf(
    { head, workspace }: RoutedRequest,
    body: Buffer,
  ): string {
    const { method, url } = this.#caller.request;
    return fingerprintOf({
      host: head.host,
      method: method!,
      target: url!,
      workspace: workspace?.name,
      body,
    });
  }

  async #attemptOnRunners(
    routed: RoutedRequest,
    body: Buffer,
  ): Promise<Outcome> {
    const progress = this.#progress;
    let fallback: (() => Outcome) | undefined;
    const search = new RunnerSearch(this.#daemon, routed, {
      receivedAt: progress.startedAt,
      expiresAt: progress.expiresAt,
      isAbandoned: () => progress.abandoned || this.#quarantine() !== undefined,
      returning: progress.returning,
      attemptsLeft: () => progress.attempts + 1 < routed.route.maxAttempts,
      origin: () => progress.origin,
    });
    for (;;) {
      if (this.#caller.disconnected) return { kind: "left" };
      const outOfTime = progress.expired ||
        progress.remainingMs < MIN_ATTEMPT_TIME_MS;
      if (outOfTime) return fallback?.() ?? this.#outcomes.expiry();
      const { triedRunners, unconfirmedRunners } = progress;
      if (unconfirmedRunners.size >= MAX_UNCONFIRMED_RUNNERS) {
        return fallback?.() ?? this.#outcomes.noRunner();
      }
      const choice = await search.find({
        tried: new Set([...triedRunners, ...unconfirmedRunners]),
        mayWait: this.#mayWait,
      });
      const quarantine = this.#quarantine();
      if (quarantine !== undefined) {
        return fallback?.() ?? this.#refuse(routed, quarantine);
      }
      if (choice === "overloaded") {
        return fallback?.() ?? this.#outcomes.overload();
      }
      if (choice === undefined) {
        logVersionUnavailable(this.#daemon, routed, progress);
        return fallback?.() ?? this.#outcomes.noRunner();
      }
      if (!await this.#isConfirmed(choice.runner, routed)) {
        progress.unconfirmedRunners.add(choice.runner.id);
        continue;
      }
      // Another request may have been sent since the runner was selected.
      if (!search.hasMemory(choice)) continue;
      const result = await this.#attempts.execute(choice, routed, body);
      if (result.kind === "done") return result.outcome;
      const retry = result.kind === "retry" && !progress.expired &&
        this.#mayRetry(routed);
      this.#daemon.log.decision("attempt_failed", routed.head.id, {
        fingerprint: progress.fingerprint,
        runner: choice.runner.id,
        reason: result.reason,
        attempt: progress.attempts,
        events: this.#attempts.eventCount,
        again: retry,
        silent_ms: this.#silentMs,
      });
      if (result.kind === "cancelled") {
        return fallback?.() ?? this.#cancelled(routed);
      }
      if (progress.expired) return this.#outcomes.expiry();
      fallback = result.fallback;
      if (!retry) return fallback();
    }
  }

  /**
   * Whether a runner may take the request: one that is to continue a stream must
   * still have the software that its entry states. The entry may be old, as while
   * the store is down. A runner that is reached by way of a peer cannot be asked.
   */
  async #isConfirmed(
    runner: Runner,
    { head }: RoutedRequest,
  ): Promise<boolean> {
    const { origin, remainingMs } = this.#progress;
    if (origin === undefined) return true;
    if (this.#daemon.paths.pathTo(runner) === "tunnel") return true;
    const askedAt = this.#daemon.now();
    const maxMs = Math.min(CONFIRM_MS, MAX_CONFIRM_SHARE * remainingMs);
    const confirmed = await this.#daemon.confirmStart(runner, maxMs);
    if (!confirmed) {
      const waitedMs = Math.round(this.#daemon.now() - askedAt);
      this.#daemon.log.decision("runner_unconfirmed", head.id, {
        runner: runner.id,
        waited_ms: waitedMs,
      });
    }
    return confirmed;
  }

  /**
   * Whether the request may wait for capacity. Where the service is scheduled
   * adaptively, one that runners refused waits for a second one: it may have gone
   * first after a pause while the others were paused or full.
   */
  get #mayWait(): boolean {
    const { attempts, mayHaveRun, returning } = this.#progress;
    return attempts === 0 || (returning !== undefined && !mayHaveRun);
  }

  /** Milliseconds since any runner last responded to this daemon directly. */
  get #silentMs(): number | undefined {
    const { lastResponseAt } = this.#daemon.reachability;
    if (lastResponseAt === -Infinity) return undefined;
    return Math.round(this.#daemon.now() - lastResponseAt);
  }

  /** Returns the outcome of a request that was cancelled before it was sent. */
  #cancelled(routed: RoutedRequest): Outcome {
    if (this.#caller.disconnected) return { kind: "left" };
    if (this.#progress.expired) return this.#outcomes.expiry();
    const quarantine = this.#quarantine();
    return quarantine === undefined
      ? this.#outcomes.noRunner()
      : this.#refuse(routed, quarantine);
  }

  #mayRetry({ route, service }: RoutedRequest): boolean {
    const { abandoned, attempts, mayHaveRun, triedRunners } = this.#progress;
    const reserved = this.#progress.retryReserved;
    this.#progress.retryReserved = false;
    if (abandoned || attempts >= route.maxAttempts) return false;
    if (mayHaveRun && route.repetition === "never") return false;
    // Attempts that never reached a runner do not count as retries.
    if (attempts === 0) return triedRunners.size < MAX_UNREACHABLE_RUNNERS;
    if (reserved) return true;
    return this.#daemon.retryBudget(service.name).take(this.#daemon.now());
  }

  /**
   * Returns the request's quarantine if runners crashed while running it, or requests
   * with a part of its prompt.
   */
  #quarantine(): Quarantine | undefined {
    const { suspects } = this.#progress;
    return this.#daemon.crashes.quarantineOf(suspects, this.#daemon.now());
  }

  #refuse({ head }: RoutedRequest, quarantine: Quarantine): Outcome {
    const { fingerprint } = this.#progress;
    logQuarantine(this.#daemon, head.id, { quarantine, fingerprint });
    return this.#outcomes.quarantine(quarantine);
  }

  /** Fields for the log of a request that routing itself refused. */
  #refusalFields(
    head: RequestHead,
    determined: Outcome,
    routed: RoutedRequest | undefined,
  ): Fields {
    if (determined.kind !== "refused" || routed !== undefined) return {};
    const { refusal } = determined;
    const { request } = this.#caller;
    return refusalFields(this.#daemon, head, { refusal, request });
  }

  #finish(
    head: RequestHead,
    determined: Outcome,
    routed?: RoutedRequest,
  ): void {
    const outcome = this.#caller.end(determined);
    const { startedAt, attempts, returning } = this.#progress;
    returning?.recordEnd(outcome);
    const elapsedMs = this.#daemon.now() - startedAt;
    const result = outcomeName(outcome);
    this.#daemon.metrics.requestEnded(
      routed?.service.name ?? "none",
      result,
      elapsedMs,
    );
    this.#daemon.log.decision("request_ended", head.id, {
      route: routed?.route.name,
      outcome: result,
      reason: outcome.kind === "broken" ? outcome.reason : undefined,
      attempts,
      events: this.#attempts.eventCount,
      elapsed_ms: Math.round(elapsedMs),
      config: routed?.version ?? this.#daemon.routingTable()?.version,
      ...this.#refusalFields(head, determined, routed),
    });
  }
}
