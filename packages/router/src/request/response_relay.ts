/**
 * Relays the responses of runners to the caller.
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

/**
 * Maximum size in bytes of a response that is buffered before it is relayed.
 */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * Number of gap targets without an event after which a stream continues on
 * another runner.
 */
const GAP_SILENCE = 4;
const FIRST_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

/** A response that a runner has begun. */
export type RunnerResponse = Extract<SendResult, { readonly kind: "answer" }>;

/** The state of one attempt. */
export interface AttemptContext {
  readonly load: RunnerLoad;
  readonly placed: PlacedRequest;
  readonly attempt: Attempt;
  readonly inactivity: InactivityTimer;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  readonly run: BrokenRun;
}

/** Result of relaying a response. */
export type RelayResult =
  /** The caller has the complete response. */
  | { readonly kind: "answered"; readonly status: number }
  /** The response was cut off, or is not the runner's own. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The runner returned a server error; `respond` relays it to the caller. */
  | {
    readonly kind: "failed";
    readonly status: number;
    readonly answer: () => void;
  };

/**
 * Relays the responses to the attempts of one request. A response that is not
 * streamed is relayed when it is complete. Streams are relayed event by event,
 * as a single stream even if several runners contribute to it.
 */
export class ResponseRelay {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  /**
   * Whether this daemon ended the attempt, so that the runner is not to blame.
   */
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

  /** Id of the last stream event that the caller has. */
  get lastEventId(): number | undefined {
    return this.#stream?.lastEventId;
  }

  /**
   * Number of events relayed; `undefined` when the response is not a stream.
   */
  get eventCount(): number | undefined {
    return this.#stream?.eventCount;
  }

  /** Relays a response; a successful one must carry the runner's seal. */
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

  /** Returns a function that records the times of a stream's events. */
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

  /**
   * Handles the first event, which shows that the prompt has been prefilled.
   */
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
    this.#daemon.prefixes.recordPrefill(
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
