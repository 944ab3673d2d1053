/**
 * Relays the responses of runners to the caller.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { endedWithConnection } from "@umbermast/coordination/client_request";
import type { BrokenRun } from "../connection/crash_detector.ts";
import type { Runner } from "../process/runner.ts";
import type { PlacedRequest, RunnerLoad } from "../process/runner_load.ts";
import { AnswerBuffer } from "./answer_buffer.ts";
import type { Attempt, SendResult } from "./attempt.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { logUnframedEnd } from "./decision_log.ts";
import type { InactivityTimer } from "./inactivity_timer.ts";
import type { Outcome } from "./outcome.ts";
import type { PlainRoom } from "./plain_admission.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { readBlocks } from "./read_body.ts";
import type { BlocksResult } from "./read_body.ts";

/**
 * Maximum size in bytes of a response that is buffered before it is relayed.
 */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/**
 * Maximum size in bytes of the body of a failure, which holds a message and perhaps
 * its trace. Nobody needs the whole of a larger one.
 */
const MAX_FAILURE_BYTES = 256 * 1024;
/**
 * Maximum size in bytes of an event with its frames: an event holds some tokens, and
 * of each perhaps the probabilities of others. Also bounds what is on its way while a
 * response is paused.
 */
const MAX_EVENT_BYTES = 256 * 1024;
/**
 * Maximum size in bytes of the frames of a body that is no stream: those of 400,000
 * chunks, as of a runner that sends each token in one.
 */
const MAX_FRAMING_BYTES = 2 * 1024 * 1024;
/**
 * Time without an event, in multiples of the gap target, after which a stream
 * continues on another runner.
 */
const GAP_TIMEOUT_TARGETS = 4;
/**
 * Minimum of that time in ms. A sound runner may fall silent for a second or so; it
 * then does not notice either that its connection was closed, and would run the
 * stream beside the other runner.
 */
const MIN_GAP_TIMEOUT_MS = 1_500;
/**
 * Minimum time in ms over which the pace of a stream is observed: events that
 * arrive together count with the gap before them.
 */
const MIN_GAP_MS = 40;
/**
 * Time in ms between two observed gaps of a stream. A few of them a second tell
 * as much of a runner's pace as all, at a fraction of the processor time.
 */
const GAP_INTERVAL_MS = 300;
const MIN_REDIRECT_STATUS = 300;
const MIN_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;

/** A response that a runner has begun. */
export type RunnerResponse = Extract<SendResult, { readonly kind: "response" }>;

/** The state of one attempt. */
export interface AttemptContext {
  readonly load: RunnerLoad;
  readonly placed: PlacedRequest;
  readonly attempt: Attempt;
  readonly inactivity: InactivityTimer;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  /** Requests at the runner when this one was sent. */
  readonly requestsAhead: number;
  /**
   * Prompt tokens that the runner prefills before the first event, its own and
   * those ahead; undefined if other work may delay the event.
   */
  readonly tokensAhead: number | undefined;
  readonly run: BrokenRun;
  /** Capacity of the runner when the request was sent, if it was queued. */
  readonly room: PlainRoom | undefined;
}

/** A body that has ended with its connection. */
interface EndedBody {
  readonly attempt: Attempt;
  /** Undefined for a stream. */
  readonly bytes: number | undefined;
  /** Events that were relayed of a stream. */
  readonly events: number | undefined;
}

/** What a runner responded. */
type RunnerOutcome = Extract<Outcome, { readonly status: number }>;

/** Result of relaying a response. */
export type RelayResult =
  /** The complete response of the runner, or the end of its stream. */
  | RunnerOutcome
  /** The response was cut off, or is not the runner's own. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The runner responded with a failure, which stands if no other does better. */
  | { readonly kind: "failed"; readonly outcome: RunnerOutcome }
  /** There was no room to buffer the response. */
  | { readonly kind: "no-room" };

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
  readonly #cancelledLocally: () => boolean;
  readonly #streamBegan: (routed: RoutedRequest, runner: Runner) => void;
  #stream: StreamRelay | undefined;
  /** What is buffered of the stream. */
  #streamBuffer: AnswerBuffer | undefined;
  /** The attempt whose stream is relayed. */
  #streamAttempt: Attempt | undefined;

  constructor(
    daemon: Daemon,
    caller: Caller,
    options: {
      readonly cancelledLocally: () => boolean;
      /** Called with the runner of the first event that the caller gets. */
      readonly streamBegan: (routed: RoutedRequest, runner: Runner) => void;
    },
  ) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#cancelledLocally = options.cancelledLocally;
    this.#streamBegan = options.streamBegan;
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
    routed: RoutedRequest,
    response: RunnerResponse,
    context: AttemptContext,
  ): Promise<RelayResult> {
    const { status, head } = response;
    const success = status < MIN_ERROR_STATUS;
    context.attempt.recordProgress(MAX_EVENT_BYTES);
    if (success && (!head.sealed || head.encoded)) {
      context.attempt.cancel("response without seal");
      context.load.recordFailure(this.#daemon.now());
      return Promise.resolve({
        kind: "broken",
        reason: "response without seal",
      });
    }
    const streamed = this.#caller.headersSent
      ? status === this.#caller.response.statusCode
      : routed.route.streaming && status < MIN_REDIRECT_STATUS;
    if (streamed) return this.#relayStream(routed, response, context);
    return this.#relayBuffered(routed, response, context);
  }

  async #relayBuffered(
    routed: RoutedRequest,
    response: RunnerResponse,
    context: AttemptContext,
  ): Promise<RelayResult> {
    const { status, incoming } = response;
    if (response.head.sealed) this.#daemon.requestStarted(routed);
    const buffer = this.#openBuffer(
      routed,
      () => context.attempt.cancel("no room for the response"),
    );
    // The size of the body is bounded; what goes with it is, too.
    context.attempt.recordProgress(MAX_FRAMING_BYTES);
    incoming.on(
      "data",
      (chunk: Buffer) => context.attempt.recordBody(chunk.length),
    );
    const received = await this.#receive(response, buffer);
    if (buffer.wasCut) return { kind: "no-room" };
    if (received.kind === "too-large") {
      this.#recordTooLarge(routed, response, context);
    }
    if (received.kind !== "complete") {
      return this.#handleInterruption(
        context,
        "response interrupted",
        received.kind,
      );
    }
    const { blocks } = received;
    const ended = {
      attempt: context.attempt,
      bytes: blocks.length,
      events: undefined,
    };
    if (!await this.#hasEnded(routed, response, ended)) {
      return this.#handleInterruption(
        context,
        "response interrupted",
        "end not confirmed",
      );
    }
    context.load.recordSuccess();
    const failed = status >= MIN_SERVER_ERROR_STATUS;
    context.load.recordResponse(failed, this.#daemon.now());
    this.#recordPlainResponse(routed, response, context);
    const send = () =>
      this.#caller.respond(status, incoming.rawHeaders, {
        chunks: blocks.parts(),
        onUnread: (bytes) => buffer.setUnread(bytes),
      });
    const outcome = { kind: "answered", status, send } as const;
    // A stream that has begun goes on with events only.
    const usable = !failed && !this.#caller.headersSent;
    return usable ? outcome : { kind: "failed", outcome };
  }

  /**
   * Returns the count of an answer.
   *
   * @param onCut called when the answer must end, besides the end of the response
   * to the caller.
   */
  #openBuffer(
    routed: RoutedRequest,
    onCut: () => void = () => {},
  ): AnswerBuffer {
    const caller = this.#caller;
    return new AnswerBuffer(this.#daemon, this.#daemon.buffers, {
      routed,
      caller,
      onCut: () => {
        caller.cutOff();
        onCut();
      },
    });
  }

  async #receive(
    { status, head, incoming }: RunnerResponse,
    buffer: AnswerBuffer,
  ): Promise<BlocksResult> {
    const isAnswer = head.sealed && status < MIN_SERVER_ERROR_STATUS;
    const maxBytes = isAnswer ? MAX_BUFFERED_BYTES : MAX_FAILURE_BYTES;
    buffer.readFrom(incoming);
    incoming.on("data", (chunk: Buffer) => buffer.receive(chunk.length));
    return await readBlocks(incoming, { maxBytes });
  }

  #recordTooLarge(
    routed: RoutedRequest,
    { status }: RunnerResponse,
    { load, attempt: { runner } }: AttemptContext,
  ): void {
    load.recordResponse(true, this.#daemon.now());
    this.#daemon.log.decision("response_too_large", routed.head.id, {
      service: routed.service.name,
      runner: runner.id,
      status,
    });
  }

  async #relayStream(
    routed: RoutedRequest,
    response: RunnerResponse,
    context: AttemptContext,
  ): Promise<RelayResult> {
    const { route } = routed;
    const { status, incoming } = response;
    const stream = this.#streamRelay(routed);
    const recordPace = this.#paceRecorder(routed, context);
    const recordGap = this.#gapRecorder(routed, stream, context);
    let started = false;
    const gapTimeoutMs = Math.max(
      MIN_GAP_TIMEOUT_MS,
      GAP_TIMEOUT_TARGETS * (route.gapTargetMs ?? route.targetMs),
    );
    this.#streamAttempt = context.attempt;
    this.#streamBuffer?.readFrom(
      stream.pausable(incoming),
      (maxMs) => context.inactivity.restart(maxMs + gapTimeoutMs),
    );
    const onEvent = () => {
      const now = this.#daemon.now();
      context.load.recordActivity(now);
      this.#recordResponse(context, now);
      recordPace(now);
      if (!started) {
        started = true;
        this.#handleFirstEvent(routed, response, context);
      }
      recordGap(now);
      context.inactivity.restart(gapTimeoutMs);
    };
    const onProgress = () => context.attempt.recordProgress();
    const end = await stream.relay(incoming, { onEvent, onProgress });
    if (this.#streamBuffer?.wasCut) return { kind: "no-room" };
    if (end.kind !== "complete") {
      return this.#handleInterruption(
        context,
        "stream interrupted",
        end.reason,
      );
    }
    const ended = {
      attempt: context.attempt,
      bytes: undefined,
      events: stream.eventCount,
    };
    if (!await this.#hasEnded(routed, response, ended)) {
      return this.#handleInterruption(
        context,
        "stream interrupted",
        "end not confirmed",
      );
    }
    const finish = () => {
      this.#caller.beginStream(status, incoming.rawHeaders);
      stream.end();
    };
    return { kind: "streamed", status, end: finish };
  }

  /**
   * Whether a body that has ended is whole. The system ends the connections of a
   * process that crashes in the ordinary way, so the end of a body without a length
   * counts only if its runner is shown to live on.
   */
  async #hasEnded(
    routed: RoutedRequest,
    { status, incoming }: RunnerResponse,
    { attempt, bytes, events }: EndedBody,
  ): Promise<boolean> {
    if (!endedWithConnection(incoming)) return true;
    const { runner, path } = attempt;
    const life = await this.#daemon.checkLife(runner, path);
    logUnframedEnd(this.#daemon, routed, {
      attempt,
      status,
      bytes,
      events,
      life,
    });
    return life.alive;
  }

  #recordResponse(
    { attempt: { runner, path } }: AttemptContext,
    now: number,
  ): void {
    if (path === "tunnel") return;
    this.#daemon.reachability.recordResponse(runner.id, now);
  }

  /** Returns a function that records the times of a stream's events. */
  #paceRecorder(
    routed: RoutedRequest,
    context: AttemptContext,
  ): (now: number) => void {
    const { service } = routed;
    if (service.engine === undefined) return () => {};
    const { eventTokens: tokens } = service.engine;
    const pace = this.#daemon.streamPace(service.name);
    const { id } = context.attempt.runner;
    let previous: number | undefined;
    return (now) => {
      if (previous !== undefined) {
        pace.record(id, { ms: now - previous, tokens, now });
      }
      previous = now;
    };
  }

  /**
   * Returns a function that records the times between a stream's events, and
   * whether the runner prefilled in them. Times in which the runner was paused
   * for a slow caller do not count.
   */
  #gapRecorder(
    { service }: RoutedRequest,
    stream: StreamRelay,
    { load, attempt: { runner } }: AttemptContext,
  ): (now: number) => void {
    const { scheduling, paces } = this.#daemon;
    const { engine, name } = service;
    if (engine === undefined || !scheduling.observesEngines(name)) {
      return () => {};
    }
    const { eventTokens } = engine;
    let startedAt: number | undefined;
    let resumeAt = -Infinity;
    let tokens = 0;
    let unreadBefore = 0;
    let pausesBefore = 0;
    return (now) => {
      if (now < resumeAt) return;
      if (startedAt !== undefined) {
        tokens += eventTokens;
        const ms = now - startedAt;
        if (ms < MIN_GAP_MS) return;
        if (stream.pauseCount === pausesBefore) {
          const { inFlight: requests, unreadTokens: unreadAfter } = load.total;
          paces.recordGap(runner, {
            ms,
            tokens,
            requests,
            unreadBefore,
            unreadAfter,
            now,
          });
        }
        startedAt = undefined;
        resumeAt = now + GAP_INTERVAL_MS;
        return;
      }
      startedAt = now;
      tokens = 0;
      unreadBefore = load.total.unreadTokens;
      pausesBefore = stream.pauseCount;
    };
  }

  #recordPlainResponse(
    { service }: RoutedRequest,
    { status, head }: RunnerResponse,
    { attempt: { runner }, sentAt, requestsAhead }: AttemptContext,
  ): void {
    const plain = service.engine === undefined;
    if (!plain || !head.sealed || status >= MIN_ERROR_STATUS) return;
    const now = this.#daemon.now();
    this.#daemon.paces.recordResponse(runner, {
      ms: now - sentAt,
      ahead: requestsAhead,
      slots: runner.slots,
      now,
    });
  }

  #streamRelay(routed: RoutedRequest): StreamRelay {
    if (this.#stream !== undefined) return this.#stream;
    this.#streamBuffer = this.#openBuffer(
      routed,
      () => this.#streamAttempt?.cancel("no room for the response"),
    );
    this.#stream = new StreamRelay(this.#caller.response, {
      dialect: this.#daemon.dialect,
      lastEventId: routed.head.lastEventId,
      buffer: this.#streamBuffer,
      holds: this.#daemon.holdsStreams,
    });
    return this.#stream;
  }

  /**
   * Handles the first event, which shows that the prompt has been prefilled.
   */
  #handleFirstEvent(
    routed: RoutedRequest,
    response: RunnerResponse,
    context: AttemptContext,
  ): void {
    const { load, placed, attempt, sentAt, tokensAhead } = context;
    const now = this.#daemon.now();
    this.#daemon.requestStarted(routed);
    if (tokensAhead !== undefined) {
      this.#daemon.paces.recordFirstEvent(attempt.runner, {
        ms: now - sentAt,
        tokens: tokensAhead,
        now,
      });
    }
    load.recordFirstEvent(placed);
    load.recordSuccess();
    const { prompt } = routed.head;
    this.#daemon.prefixes.recordPrefill(
      attempt.runner.id,
      prompt,
      now,
    );
    this.#streamBegan(routed, attempt.runner);
    this.#caller.beginStream(response.status, response.incoming.rawHeaders);
  }

  #handleInterruption(
    context: AttemptContext,
    cause: string,
    reason: string,
  ): RelayResult {
    context.attempt.cancel(cause);
    if (!this.#cancelledLocally() && !context.attempt.lostByPeer) {
      context.load.recordFailure(this.#daemon.now());
      this.#daemon.reportBrokenConnection(context.attempt.runner, context.run);
    }
    return { kind: "broken", reason };
  }
}
