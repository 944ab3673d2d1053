/**
 * One try of a request at the runner that was chosen for it.
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

/** Targets without a first event after which a stream is tried elsewhere. */
const STREAM_SILENCE = 2;
/** Targets without an answer after which an idempotent request is. */
const WHOLE_SILENCE = 1;

/** What one try came to. */
export type AttemptResult =
  | { readonly kind: "done"; readonly outcome: Outcome }
  /** Another runner may be tried; `fallback` answers if none is. */
  | {
    readonly kind: "again";
    readonly reason: string;
    readonly fallback: () => Outcome;
  };

/** Tries runners for one request, one after the other. */
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

  /** Events that were passed on; none when the answer is no stream. */
  get eventCount(): number | undefined {
    return this.#relay.eventCount;
  }

  /** Ends the try that goes on, if any. */
  cancel(reason: string): void {
    this.#attempt?.cancel(reason);
  }

  /** Sends to one runner and passes on what comes. */
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

  /** The runner would end under the request, which still waits there. */
  #withdraw(attempt: Attempt): void {
    if (attempt.responseStarted) return;
    this.#progress.withdrawn = true;
    attempt.cancel("quarantined");
  }

  /**
   * A runner that says nothing for long is given up where another one may go
   * on: callers leave a silent stream after two seconds or more.
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

  /** Only the runner's own answer shows that it names no limit any more. */
  #hearLimit(head: ResponseHead, { attempt, sentAt }: AttemptContext): void {
    const silent = head.limit === undefined && !head.sealed;
    if (silent || head.misdirected) return;
    const times = { sentAt, now: this.#daemon.now() };
    this.#daemon.limits.recordStated(attempt.runner.id, head.limit, times);
  }

  /** The connection broke before the head of an answer. */
  #broke(
    reason: string,
    { attempt, load, run }: AttemptContext,
  ): AttemptResult {
    this.#progress.mayHaveRun = true;
    // The connection may have gone silent, and its siblings with it.
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
    // The runner failed by itself; its answer stands if no other does better.
    const mayRepeat = subject.route.repetition !== "never" && !over;
    if (mayRepeat) return again(`status ${status}`, answer);
    return { kind: "done", outcome: answer() };
  }

  /** Another try after one that may have run, where the route allows it. */
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
