/**
 * Executes one attempt of a request at the runner selected for it.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { PlacedRequest } from "../process/runner_load.ts";
import { ResponseRelay } from "./response_relay.ts";
import type { AttemptContext, RelayResult } from "./response_relay.ts";
import type { Attempt, SendResult } from "./attempt.ts";
import { createAttempt } from "./create_attempt.ts";
import type { ResponseHead } from "./dialect.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { logRunnerChosen } from "./exchange_log.ts";
import type { Outcome } from "./outcome.ts";
import type { LocalOutcomes } from "./local_outcomes.ts";
import type { RunnerChoice } from "./placement.ts";
import type { Progress } from "./progress.ts";
import { InactivityTimer } from "./inactivity_timer.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Number of target latencies without a first event after which a stream is
 * retried on another runner.
 */
const STREAM_SILENCE = 2;
/**
 * Number of target latencies without a response after which an idempotent
 * request is retried on another runner.
 */
const WHOLE_SILENCE = 1;

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "done"; readonly outcome: Outcome }
  /**
   * Another runner may be tried; `fallback` produces the outcome if none is.
   */
  | {
    readonly kind: "again";
    readonly reason: string;
    readonly fallback: () => Outcome;
  };

/** Executes the attempts of one request, one after the other. */
export class AttemptExecutor {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;
  readonly #own: LocalOutcomes;
  readonly #relay: ResponseRelay;
  #attempt: Attempt | undefined;

  constructor(daemon: Daemon, caller: Caller, parts: {
    readonly progress: Progress;
    readonly own: LocalOutcomes;
  }) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = parts.progress;
    this.#own = parts.own;
    this.#relay = new ResponseRelay(daemon, caller, {
      endedByUs: () => parts.progress.abandoned,
    });
  }

  /**
   * Number of events relayed; `undefined` when the response is not a stream.
   */
  get eventCount(): number | undefined {
    return this.#relay.eventCount;
  }

  /** Cancels the current attempt, if any. */
  cancel(reason: string): void {
    this.#attempt?.cancel(reason);
  }

  /** Sends the request to one runner and relays the response. */
  async execute(
    choice: RunnerChoice,
    subject: RoutedRequest,
    body: Buffer,
  ): Promise<AttemptResult> {
    const { head: call } = subject;
    const { runner } = choice;
    const { fingerprint, remainingMs: leftMs } = this.#progress;
    const load = this.#daemon.loads.of(runner.id);
    const placed: PlacedRequest = {
      unreadTokens: choice.prefillTokens,
      memoryTokens: call.promptTokens + call.maxOutputTokens,
      tight: choice.tight,
    };
    const sentAt = this.#daemon.now();
    this.#progress.triedRunners.add(runner.id);
    logRunnerChosen(this.#daemon, subject, { choice, fingerprint, leftMs });
    load.place(placed, sentAt);
    this.#daemon.prefixes.recordSent(runner.id, call.prompt, sentAt);
    const attempt = createAttempt(this.#daemon, subject, {
      request: this.#caller.request,
      choice,
      body,
      leftMs,
      lastEventId: this.#relay.lastEventId,
    });
    this.#attempt = attempt;
    const silence = this.#watchSilence(subject, attempt);
    const unwatch = this.#daemon.crashes.watch(
      fingerprint,
      () => this.#withdraw(attempt),
    );
    try {
      const sent = await attempt.send();
      if (attempt.mayHaveReachedRunner) this.#progress.attempts += 1;
      const beganAt = sent.kind === "answer" ? this.#daemon.now() : sentAt;
      return await this.#take(subject, sent, {
        load,
        placed,
        attempt,
        inactivity: silence,
        sentAt,
        run: { fingerprint, startedAt: beganAt },
      });
    } finally {
      unwatch();
      silence.stop();
      load.release(placed);
    }
  }

  /**
   * Withdraws the request from a runner that has not begun to respond, because
   * the request would crash it.
   */
  #withdraw(attempt: Attempt): void {
    if (attempt.responseStarted) return;
    this.#progress.withdrawn = true;
    attempt.cancel("quarantined");
  }

  /**
   * Gives up on a runner that stays silent where another one may continue:
   * callers leave a silent stream after two seconds or more.
   */
  #watchSilence({ route }: RoutedRequest, attempt: Attempt): InactivityTimer {
    const last = route.maxAttempts <= this.#progress.attempts + 1;
    if (route.repetition === "never" || last) {
      return new InactivityTimer(() => {});
    }
    const silence = new InactivityTimer(() => attempt.cancel("silent"));
    const spans = route.streaming ? STREAM_SILENCE : WHOLE_SILENCE;
    silence.restart(spans * route.targetMs);
    return silence;
  }

  async #take(
    subject: RoutedRequest,
    sent: SendResult,
    parts: AttemptContext,
  ): Promise<AttemptResult> {
    const { load } = parts;
    const now = this.#daemon.now();
    if (sent.kind === "answer" || sent.kind === "not-run") {
      load.recordActivity(now);
      this.#hearLimit(sent.head, parts);
    }
    switch (sent.kind) {
      case "unsent":
        if (!this.#progress.abandoned) load.recordFailure(now);
        return again(
          sent.reason,
          () => this.#own.refusal("runner_unreachable"),
        );
      case "broken":
        return this.#broke(sent.reason, parts);
      case "not-run":
        if (sent.head.load !== undefined) {
          load.recordReport(sent.head.load, now);
        }
        if (sent.head.misdirected) load.recordFailure(now);
        return again(
          "refused by runner",
          () => this.#own.refusal("runner_full"),
        );
      case "answer":
        this.#progress.mayHaveRun = true;
        if (sent.head.load !== undefined) {
          load.recordReport(sent.head.load, now);
        }
        return this.#ended(
          subject,
          await this.#relay.relay(subject, sent, parts),
        );
    }
  }

  /**
   * Records the rate limit that a response states. Only a response with the
   * runner's own seal shows that the runner no longer states one.
   */
  #hearLimit(head: ResponseHead, { attempt, sentAt }: AttemptContext): void {
    const silent = head.limit === undefined && !head.sealed;
    if (silent || head.misdirected) return;
    const times = { sentAt, now: this.#daemon.now() };
    this.#daemon.limits.recordStated(attempt.runner.id, head.limit, times);
  }

  /** Handles a connection that broke before the head of a response. */
  #broke(
    reason: string,
    { attempt, load, run }: AttemptContext,
  ): AttemptResult {
    this.#progress.mayHaveRun = true;
    // The connection may have been lost without notice, and the runner's idle
    // connections with it.
    if (!this.#caller.disconnected) {
      this.#daemon.connections.dropIdle(attempt.runner);
    }
    if (!this.#progress.abandoned) {
      load.recordFailure(this.#daemon.now());
      this.#daemon.reportBrokenConnection(attempt.runner, run);
    }
    return this.#repeat(reason);
  }

  #ended(subject: RoutedRequest, passed: RelayResult): AttemptResult {
    if (passed.kind === "broken") return this.#repeat(passed.reason);
    const { fingerprint, abandoned: over } = this.#progress;
    this.#daemon.crashes.recordResponse(fingerprint, this.#daemon.now());
    const { status } = passed;
    const outcome: Outcome = { kind: "answered", status };
    if (passed.kind === "answered") return { kind: "done", outcome };
    const answer = () => {
      passed.answer();
      return outcome;
    };
    // The runner returned a server error, which stands if no other attempt does
    // better.
    const mayRepeat = subject.route.repetition !== "never" && !over;
    if (mayRepeat) return again(`status ${status}`, answer);
    return { kind: "done", outcome: answer() };
  }

  /**
   * Ends an attempt that may have run: with a time-out, or with another attempt
   * where the route allows it.
   */
  #repeat(reason: string): AttemptResult {
    if (this.#progress.expired) {
      return { kind: "done", outcome: this.#own.timeout() };
    }
    return again(reason, () => this.#own.failure(reason));
  }
}

function again(reason: string, fallback: () => Outcome): AttemptResult {
  return { kind: "again", reason, fallback };
}
