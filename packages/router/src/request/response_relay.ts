/**
 * Passing a runner's answer on to the caller.
 *
 * @module
 */
import type { BrokenRun } from "../connection/crash_detector.ts";
import type { PlacedRequest, RunnerLoad } from "../process/runner_load.ts";
import type { Attempt, SendResult } from "./attempt.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import type { InactivityTimer } from "./inactivity_timer.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { readBody } from "./read_body.ts";

/** Largest answer that is held to be checked before it is passed on, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Longest pauses on time without an event after which it goes on elsewhere. */
const GAP_SILENCE = 4;
const FIRST_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

/** An answer that a runner has begun. */
export type RunnerResponse = Extract<SendResult, { readonly kind: "answer" }>;

/** What belongs to one try. */
export interface AttemptContext {
  readonly load: RunnerLoad;
  readonly placed: PlacedRequest;
  readonly attempt: Attempt;
  readonly inactivity: InactivityTimer;
  /** Steady ms. */
  readonly sentAt: number;
  readonly run: BrokenRun;
}

/** What became of an answer. */
export type RelayResult =
  /** The caller has all of it. */
  | { readonly kind: "answered"; readonly status: number }
  /** The runner broke off, or the answer is not its own. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The runner failed by itself; `answer` tells the caller so. */
  | {
    readonly kind: "failed";
    readonly status: number;
    readonly answer: () => void;
  };

/**
 * Passes on the answers of one request's tries: whole ones after their end, and
 * streams by whole events, as one stream however many runners it comes from.
 */
export class ResponseRelay {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  /** Whether this daemon ended the try, so the runner is not to blame. */
  readonly #endedByUs: () => boolean;
  #stream: StreamRelay | undefined;

  constructor(
    daemon: Daemon,
    caller: Caller,
    options: { readonly endedByUs: () => boolean },
  ) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#endedByUs = options.endedByUs;
  }

  /** Last event of a stream that the caller has. */
  get lastEventId(): number | undefined {
    return this.#stream?.lastEventId;
  }

  /** Events that were passed on; none when the answer is no stream. */
  get eventCount(): number | undefined {
    return this.#stream?.eventCount;
  }

  /** Passes one answer on, if its runner vouches for it. */
  relay(
    subject: RoutedRequest,
    sent: RunnerResponse,
    parts: AttemptContext,
  ): Promise<RelayResult> {
    const { status, head } = sent;
    const success = status < FIRST_ERROR;
    if (success && (!head.sealed || head.encoded)) {
      parts.attempt.cancel("not the runner's own answer");
      parts.load.recordFailure(this.#daemon.now());
      return Promise.resolve({ kind: "broken", reason: "answer without seal" });
    }
    if (subject.route.streaming && success) {
      return this.#passStream(subject, sent, parts);
    }
    return this.#passWhole(subject, sent, parts);
  }

  async #passWhole(
    subject: RoutedRequest,
    sent: RunnerResponse,
    parts: AttemptContext,
  ): Promise<RelayResult> {
    const { status, incoming } = sent;
    if (sent.head.sealed) this.#daemon.requestStarted(subject);
    const whole = await readBody(incoming, MAX_ANSWER_BYTES);
    if (whole.kind !== "whole") {
      return this.#brokeOff(parts, "answer broke off", whole.kind);
    }
    parts.load.recordSuccess();
    const failed = status >= FIRST_SERVER_ERROR;
    parts.load.recordResponse(failed, this.#daemon.now());
    const answer = () =>
      this.#caller.respond(status, incoming.rawHeaders, whole.body);
    if (failed) return { kind: "failed", status, answer };
    answer();
    return { kind: "answered", status };
  }

  async #passStream(
    subject: RoutedRequest,
    sent: RunnerResponse,
    parts: AttemptContext,
  ): Promise<RelayResult> {
    const { route } = subject;
    const { status, incoming } = sent;
    const stream = this.#streamOf(subject);
    const pace = this.#paceOf(subject, parts);
    let begun = false;
    const end = await stream.relay(incoming, () => {
      const now = this.#daemon.now();
      parts.load.recordActivity(now);
      pace(now);
      if (!begun) {
        begun = true;
        this.#begin(subject, sent, parts);
      }
      parts.inactivity.restart(
        GAP_SILENCE * (route.gapTargetMs ?? route.targetMs),
      );
    });
    if (end.kind !== "complete") {
      return this.#brokeOff(parts, "stream broke off", end.reason);
    }
    this.#caller.beginStream(status, incoming.rawHeaders);
    this.#caller.endStream();
    return { kind: "answered", status };
  }

  /** Takes the times of a stream's events. */
  #paceOf(
    subject: RoutedRequest,
    parts: AttemptContext,
  ): (now: number) => void {
    const { service } = subject;
    if (service.engine === undefined) return () => {};
    const { eventTokens: tokens } = service.engine;
    const pace = this.#daemon.pace(service.name);
    const { id } = parts.attempt.runner;
    let before: number | undefined;
    return (now) => {
      if (before !== undefined) {
        pace.record(id, { ms: now - before, tokens, now });
      }
      before = now;
    };
  }

  #streamOf(subject: RoutedRequest): StreamRelay {
    this.#stream ??= new StreamRelay(this.#caller.response, {
      dialect: this.#daemon.dialect,
      lastEventId: subject.head.lastEventId,
    });
    return this.#stream;
  }

  /** The first event came: the prompt has been read. */
  #begin(
    subject: RoutedRequest,
    sent: RunnerResponse,
    parts: AttemptContext,
  ): void {
    const { load, placed, attempt } = parts;
    this.#daemon.requestStarted(subject);
    load.recordFirstEvent(placed);
    load.recordSuccess();
    const { prompt } = subject.head;
    this.#daemon.prefixes.recordRead(
      attempt.runner.id,
      prompt,
      this.#daemon.now(),
    );
    this.#caller.beginStream(sent.status, sent.incoming.rawHeaders);
  }

  #brokeOff(parts: AttemptContext, cause: string, reason: string): RelayResult {
    parts.attempt.cancel(cause);
    if (!this.#endedByUs()) {
      parts.load.recordFailure(this.#daemon.now());
      this.#daemon.reportBrokenConnection(parts.attempt.runner, parts.run);
    }
    return { kind: "broken", reason };
  }
}
