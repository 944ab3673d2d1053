/**
 * The path of one request, from its head to its final answer.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Quarantine } from "../process/crash_record.ts";
import type { Placed } from "../process/runner_load.ts";
import { AnswerRelay } from "./answer_relay.ts";
import type { Passed, TryParts } from "./answer_relay.ts";
import type { Attempt, Sent } from "./attempt.ts";
import { attemptOf } from "./attempt_of.ts";
import type { CallHead } from "./call.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { logChoice, logQuarantine } from "./exchange_log.ts";
import { fingerprintOf } from "./fingerprint.ts";
import { notRun, overloaded, quarantined } from "./not_run.ts";
import { outcomeName } from "./outcome.ts";
import type { Outcome } from "./outcome.ts";
import type { Choice } from "./placement.ts";
import { RunnerSearch } from "./runner_search.ts";
import { Silence } from "./silence.ts";
import { findSubject } from "./subject.ts";
import type { Subject } from "./subject.ts";
import { readWhole } from "./whole_body.ts";

/** Targets without a first event after which a stream is tried elsewhere. */
const STREAM_SILENCE = 2;
/** Targets without an answer after which an idempotent request is. */
const WHOLE_SILENCE = 1;
/** Milliseconds left under which no other runner is tried. */
const LEAST_TIME_MS = 30;
/** Runners that are tried one after the other while none can be reached. */
const MAX_UNSENT = 3;

/** What one try came to. */
type Try =
  | { readonly kind: "done"; readonly outcome: Outcome }
  /** Another runner may be tried; `fallback` answers if none is. */
  | {
    readonly kind: "again";
    readonly reason: string;
    readonly fallback: () => Outcome;
  };

/** Works on one request. */
export class Exchange {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #startedAt: number;
  readonly #tried = new Set<string>();
  #attempt: Attempt | undefined;
  readonly #relay: AnswerRelay;
  #attempts = 0;
  /** Whether any byte may have reached a runner that did not refuse it. */
  #mayHaveRun = false;
  #expired = false;
  /** Whether the caller's body is still on its way. */
  #reading = false;
  #expiresAt = Infinity;
  /** The same for each try of the request; known once its body is. */
  #fingerprint = "";

  constructor(daemon: Daemon, caller: Caller) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#startedAt = daemon.now();
    this.#relay = new AnswerRelay(daemon, caller, {
      endedByUs: () => this.#endedByUs(),
    });
  }

  /** Works until the caller has its final answer or has left. */
  async run(): Promise<void> {
    const call = this.#daemon.dialect.readCall(this.#caller.request.rawHeaders);
    const found = findSubject(this.#daemon, this.#caller.request, call);
    if ("status" in found) {
      return this.#end(call, { kind: "refused", refusal: found });
    }
    const timer = this.#startTimer(found);
    this.#caller.response.once(
      "close",
      () => this.#attempt?.cancel("caller left"),
    );
    try {
      const outcome = await this.#serve(found);
      this.#end(call, outcome, found);
    } finally {
      clearTimeout(timer);
    }
  }

  /** The caller gets its final answer at the timeout, not some time after it. */
  #startTimer(subject: Subject): NodeJS.Timeout {
    const { call, route } = subject;
    const span = Math.min(route.timeoutMs, call.deadlineMs ?? Infinity);
    this.#expiresAt = this.#startedAt + span;
    return setTimeout(() => {
      this.#expired = true;
      this.#attempt?.cancel("timeout");
      if (!this.#reading) return;
      this.#caller.refuse({ status: 408, code: "body_timeout", close: true });
    }, span);
  }

  async #serve(subject: Subject): Promise<Outcome> {
    const limits = this.#daemon.table()!.limits;
    this.#reading = true;
    const whole = await readWhole(this.#caller.request, limits.maxBodyBytes);
    this.#reading = false;
    if (whole.kind === "broken") return { kind: "left" };
    if (whole.kind === "too-large") {
      const refusal = { status: 413, code: "body_too_large", close: true };
      return { kind: "refused", refusal };
    }
    this.#fingerprint = this.#fingerprintOf(subject, whole.body);
    this.#daemon.budget(subject.service.name).request(this.#daemon.now());
    const quarantine = this.#quarantine();
    if (quarantine !== undefined) return this.#refuse(subject, quarantine);
    return await this.#tryRunners(subject, whole.body);
  }

  #fingerprintOf({ call, workspace }: Subject, body: Buffer): string {
    const { method, url } = this.#caller.request;
    return fingerprintOf({
      host: call.host,
      method: method!,
      target: url!,
      workspace: workspace?.name,
      body,
    });
  }

  async #tryRunners(subject: Subject, body: Buffer): Promise<Outcome> {
    let fallback: (() => Outcome) | undefined;
    const search = new RunnerSearch(this.#daemon, subject, {
      since: this.#startedAt,
      expiresAt: this.#expiresAt,
      over: () => this.#endedByUs() || this.#quarantine() !== undefined,
    });
    for (;;) {
      if (this.#caller.left) return { kind: "left" };
      const over = this.#expired || this.#left() < LEAST_TIME_MS;
      if (over) return fallback?.() ?? this.#timeoutOutcome();
      const choice = await search.find({
        tried: this.#tried,
        reachedNone: this.#attempts === 0,
      });
      const quarantine = this.#quarantine();
      if (quarantine !== undefined) {
        return fallback?.() ?? this.#refuse(subject, quarantine);
      }
      if (choice === "overloaded") {
        return fallback?.() ?? this.#refuseOverload();
      }
      if (choice === undefined) {
        return fallback?.() ?? this.#refusal("no_runner");
      }
      const result = await this.#try(subject, choice, body);
      if (result.kind === "done") return result.outcome;
      const again = !this.#expired && this.#mayTryAgain(subject);
      this.#daemon.log.decision("attempt_failed", subject.call.id, {
        fingerprint: this.#fingerprint,
        runner: choice.runner.id,
        reason: result.reason,
        attempt: this.#attempts,
        again,
      });
      if (this.#expired) return this.#timeoutOutcome();
      fallback = result.fallback;
      if (!again) return fallback();
    }
  }

  /** Sends to one runner and passes on what comes. */
  async #try(subject: Subject, choice: Choice, body: Buffer): Promise<Try> {
    const { call } = subject;
    const { runner } = choice;
    const load = this.#daemon.loads.of(runner.id);
    const placed: Placed = {
      unreadTokens: choice.unreadTokens,
      memoryTokens: call.promptTokens + call.answerTokens,
      tight: choice.tight,
    };
    this.#tried.add(runner.id);
    const sentAt = this.#daemon.now();
    logChoice(this.#daemon, subject, {
      choice,
      fingerprint: this.#fingerprint,
      leftMs: this.#left(),
    });
    load.place(placed, sentAt);
    this.#daemon.prefixes.sent(runner.id, call.prompt, this.#daemon.now());
    const attempt = attemptOf(this.#daemon, subject, {
      request: this.#caller.request,
      choice,
      body,
      leftMs: this.#left(),
      lastEventId: this.#relay.lastId,
    });
    this.#attempt = attempt;
    const silence = this.#watchSilence(subject, attempt);
    try {
      const sent = await attempt.start();
      if (attempt.left) this.#attempts += 1;
      return await this.#take(subject, sent, {
        load,
        placed,
        attempt,
        silence,
        run: {
          fingerprint: this.#fingerprint,
          beganAt: sent.kind === "answer" ? this.#daemon.now() : sentAt,
        },
      });
    } finally {
      silence.stop();
      load.release(placed);
    }
  }

  /**
   * A runner that says nothing for long is given up where another one may go
   * on: callers leave a silent stream after two seconds or more.
   */
  #watchSilence(subject: Subject, attempt: Attempt): Silence {
    const { route } = subject;
    if (
      route.repetition === "never" || route.maxAttempts <= this.#attempts + 1
    ) {
      return new Silence(() => {});
    }
    const silence = new Silence(() => attempt.cancel("silent"));
    const spans = route.streaming ? STREAM_SILENCE : WHOLE_SILENCE;
    silence.expect(spans * route.targetMs);
    return silence;
  }

  async #take(subject: Subject, sent: Sent, parts: TryParts): Promise<Try> {
    const { load } = parts;
    const now = this.#daemon.now();
    if (sent.kind === "answer" || sent.kind === "not-run") load.heard(now);
    switch (sent.kind) {
      case "unsent":
        if (!this.#endedByUs()) load.failed(now);
        return this.#again(
          sent.reason,
          () => this.#refusal("runner_unreachable"),
        );
      case "broken":
        if (!this.#endedByUs()) load.failed(now);
        this.#mayHaveRun = true;
        // The connection may have gone silent, and its siblings with it.
        if (!this.#caller.left) {
          this.#daemon.connections.dropIdle(parts.attempt.runner);
        }
        if (!this.#endedByUs()) {
          this.#daemon.connectionBroke(parts.attempt.runner, parts.run);
        }
        return this.#repeat(sent.reason);
      case "not-run":
        if (sent.head.load !== undefined) load.reported(sent.head.load, now);
        if (sent.head.otherRunner) load.failed(now);
        return this.#again(
          "refused by runner",
          () => this.#refusal("runner_full"),
        );
      case "answer":
        this.#mayHaveRun = true;
        if (sent.head.load !== undefined) load.reported(sent.head.load, now);
        return this.#ended(
          subject,
          await this.#relay.pass(subject, sent, parts),
        );
    }
  }

  #ended(subject: Subject, passed: Passed): Try {
    if (passed.kind === "broken") return this.#repeat(passed.reason);
    this.#daemon.crashes.answered(this.#fingerprint, this.#daemon.now());
    const { status } = passed;
    const outcome: Outcome = { kind: "answered", status };
    if (passed.kind === "answered") return { kind: "done", outcome };
    const answer = () => {
      passed.answer();
      return outcome;
    };
    // The runner failed by itself; its answer stands if no other does better.
    if (this.#mayRepeat(subject)) {
      return this.#again(`status ${status}`, answer);
    }
    return { kind: "done", outcome: answer() };
  }

  #again(reason: string, fallback: () => Outcome): Try {
    return { kind: "again", reason, fallback };
  }

  /** Another try after one that may have run, where the route allows it. */
  #repeat(reason: string): Try {
    if (this.#expired) return { kind: "done", outcome: this.#timeoutOutcome() };
    return this.#again(reason, () => this.#failure(reason));
  }

  #mayRepeat(subject: Subject): boolean {
    return subject.route.repetition !== "never" && !this.#expired &&
      !this.#caller.left;
  }

  #mayTryAgain(subject: Subject): boolean {
    const { route, service } = subject;
    if (this.#expired || this.#caller.left) return false;
    if (this.#attempts >= route.maxAttempts) return false;
    if (this.#mayHaveRun && route.repetition === "never") return false;
    // What never left for a runner is no repeat.
    if (this.#attempts === 0) return this.#tried.size < MAX_UNSENT;
    return this.#daemon.budget(service.name).take(this.#daemon.now());
  }

  #endedByUs(): boolean {
    return this.#expired || this.#caller.left;
  }

  #left(): number {
    return this.#expiresAt - this.#daemon.now();
  }

  #refusal(code: string): Outcome {
    if (this.#mayHaveRun) return this.#failure(code);
    const refusal = notRun(code, this.#daemon.random());
    return { kind: "refused", refusal };
  }

  /** Whether the request must not be sent, as runners end that run it. */
  #quarantine(): Quarantine | undefined {
    const { crashes } = this.#daemon;
    return crashes.quarantine(this.#fingerprint, this.#daemon.now());
  }

  #refuse({ call }: Subject, quarantine: Quarantine): Outcome {
    const code = "quarantined";
    logQuarantine(this.#daemon, call.id, {
      quarantine,
      fingerprint: this.#fingerprint,
    });
    if (this.#mayHaveRun) return this.#failure(code);
    const refusal = quarantined(quarantine.leftMs);
    return { kind: "refused", refusal };
  }

  #refuseOverload(): Outcome {
    const refusal = overloaded(this.#left(), this.#daemon.random());
    return { kind: "refused", refusal };
  }

  #failure(reason: string): Outcome {
    if (this.#caller.answered) return { kind: "broken", reason };
    return { kind: "refused", refusal: { status: 502, code: "runner_failed" } };
  }

  #timeoutOutcome(): Outcome {
    if (this.#caller.answered) return { kind: "broken", reason: "timeout" };
    if (!this.#mayHaveRun && this.#attempts === 0) {
      return this.#refusal("timeout");
    }
    return { kind: "refused", refusal: { status: 504, code: "timeout" } };
  }

  #end(call: CallHead, ended: Outcome, subject?: Subject): void {
    const gone = this.#caller.left && ended.kind !== "answered";
    const outcome: Outcome = gone ? { kind: "left" } : ended;
    if (outcome.kind === "refused") this.#caller.refuse(outcome.refusal);
    if (outcome.kind === "broken") this.#caller.breakOff();
    const elapsedMs = this.#daemon.now() - this.#startedAt;
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
      attempts: this.#attempts,
      events: this.#relay.events,
      elapsed_ms: Math.round(elapsedMs),
      config: subject?.version ?? this.#daemon.table()?.version,
    });
  }
}
