/**
 * One attempt: sends a request to one runner and relays its response.
 *
 * @module
 */
import type { Clock, CrashPoints } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import {
  exchange,
  type NoResponse,
  type RunnerResponse,
} from "../connection/runner_response.ts";
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { Log } from "../process/log.ts";
import { type AttemptIdentity, requestHeaders } from "./runner_headers.ts";
import type { Grant } from "./ask.ts";
import { headLimits, isPast } from "./attempt_limits.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { Call, CallerGone, Reply } from "./call.ts";
import {
  type AttemptResult,
  catchDisconnect,
  type Lost,
  lost,
  notRun,
  refused,
} from "./outcome.ts";
import { cancelAtEngine } from "./engine_cancel.ts";
import { AttemptMetrics } from "./attempt_metrics.ts";
import { relayStream } from "./stream_relay.ts";
import { relayBuffered } from "./buffered_relay.ts";

/** Services that attempts use. */
export interface AttemptServices {
  readonly connections: RunnerConnections;
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: AttemptSettings;
  /** Set in tests only. */
  readonly crashPoints?: CrashPoints;
}

/** The request, grant and deadlines of one attempt. */
export interface AttemptInput {
  readonly call: Call;
  readonly reply: Reply;
  readonly grant: Grant;
  /** Number of the attempt within the request, from 1. */
  readonly number: number;
  /** Monotonic milliseconds after which the grant may not be used. */
  readonly grantExpiresAt: number;
  /** Monotonic milliseconds of the request's deadline. */
  readonly deadlineAt: number;
}

const EVENT_STREAM = "text/event-stream";

/** Sends one request and relays its response; resumes interrupted streams. */
export class Attempt {
  readonly #services: AttemptServices;
  readonly #input: AttemptInput;
  /** Token counts and timings so far. */
  readonly metrics: AttemptMetrics;
  #response: RunnerResponse | undefined;
  #sendCount = 0;

  constructor(services: AttemptServices, target: AttemptInput) {
    this.#services = services;
    this.#input = target;
    this.metrics = new AttemptMetrics(target.call);
  }

  /** Runs the attempt to its end. After an interruption, call `abandon`. */
  run(): Effect.Effect<AttemptResult> {
    return Effect.gen({ self: this }, function* () {
      let result = yield* this.#send({});
      let fruitless = 0;
      while (result._tag === "Lost" && result.resumable) {
        if (fruitless >= this.#services.settings.fruitlessResumes) break;
        const before = this.metrics.progress.tokens;
        const resumed = yield* this.#resume(result);
        if (resumed === undefined) break;
        result = resumed;
        fruitless = this.metrics.progress.tokens > before ? 0 : fruitless + 1;
      }
      return result;
    });
  }

  /**
   * Closes the connection and cancels the run at the engine. Without the
   * cancellation, an engine that keeps streams for a resume would go on
   * generating tokens that are never read.
   */
  abandon(): void {
    this.#response?.destroy();
    if (this.metrics.sentAt === undefined || !this.#isResumable()) return;
    const { call, grant } = this.#input;
    cancelAtEngine(this.#services.connections, grant.runner, call);
  }

  #isResumable(): boolean {
    const { call } = this.#input;
    // An engine without support for resumes treats one as a new request, which
    // would run a non-repeatable request twice.
    return call.streamed && call.model !== undefined && call.repeatable;
  }

  #send(
    resume: { readonly offset?: number },
  ): Effect.Effect<AttemptResult> {
    const { call, grant, grantExpiresAt, deadlineAt, number } = this.#input;
    const { clock, connections, settings, crashPoints } = this.#services;
    return Effect.gen({ self: this }, function* () {
      if (crashPoints !== undefined) {
        yield* crashPoints.reached("send.before_bytes");
      }
      // While this daemon was paused, the broker may have granted its slots to
      // others; sending under an expired grant would overload the runner.
      if (resume.offset === undefined && clock.monotonic() >= grantExpiresAt) {
        return notRun(
          "grant_expired",
          "The slot's time passed before the send",
        );
      }
      this.#sendCount += 1;
      const attemptId = `${call.requestId}.${number}.${this.#sendCount}`;
      const identity: AttemptIdentity = {
        attemptId,
        ...(this.#isResumable() && { resumableS: settings.resumableS }),
        ...(resume.offset !== undefined && { resumeOffset: resume.offset }),
      };
      const sentAt = clock.monotonic();
      this.metrics.sentAt ??= sentAt;
      const limits = headLimits(call, settings, {
        resumed: resume.offset !== undefined,
        remainingMs: deadlineAt - sentAt,
        crashPoints,
      });
      const head = yield* Effect.result(exchange(
        { connections, runner: grant.runner },
        {
          method: call.method,
          path: call.path,
          headers: requestHeaders(call, identity),
          body: call.body,
          // A reused connection may have failed silently: a request sent on it
          // would wait until its deadline for an engine that never received it.
          // It may also have been closed, and a reset does not show whether the
          // request had arrived. A new connection is known to work, and a
          // refused connection proves that nothing has arrived.
          fresh: true,
        },
        limits,
      ));
      if (head._tag === "Failure") return this.#noResponse(head.failure);
      this.#response = head.success;
      if (crashPoints !== undefined) {
        yield* crashPoints.reached("answer.before_end");
      }
      const result = yield* this.#relay(head.success, {
        attemptId,
        firstMs: limits.headMs,
      });
      if (result._tag !== "Complete") head.success.destroy();
      return result;
    });
  }

  /** Requests the rest of an interrupted stream; `undefined` if unavailable. */
  #resume(result: Lost): Effect.Effect<AttemptResult | undefined> {
    const { call, grant } = this.#input;
    return Effect.gen({ self: this }, function* () {
      const offset = this.metrics.progress.tokens;
      const next = yield* this.#send({ offset });
      this.#services.log.decision("stream_resumed", {
        requestId: call.requestId,
        runner: grant.runner.name,
        offset,
        cause: result.code,
        outcome: next._tag === "NotRun" ? "refused" : next._tag,
      });
      return next._tag === "NotRun" ? undefined : next;
    });
  }

  /** Whether the deadline passed before the response started. */
  #isPastDeadline(): boolean {
    const { call, deadlineAt } = this.#input;
    if (!call.streamed || this.metrics.progress.tokens > 0) return false;
    return isPast(this.#services.clock.monotonic(), deadlineAt);
  }

  #noResponse(failure: NoResponse): AttemptResult {
    const { connections } = this.#services;
    if (failure.reason === "silent") {
      connections.dropIdle(this.#input.grant.runner);
    }
    if (!failure.mayHaveArrived) {
      return notRun("runner_unreachable", "The runner cannot be reached");
    }
    // After the deadline a response is useless, so the send is not repeated.
    if (this.#isPastDeadline()) {
      return lost("deadline_passed", { outcome: "unknown", resumable: false });
    }
    const resumable = this.#isResumable();
    if (failure.reason === "silent") {
      return lost("runner_silent", { outcome: "unknown", resumable });
    }
    return lost("answer_lost", { outcome: "unknown", resumable });
  }

  #relay(
    response: RunnerResponse,
    expected: { readonly attemptId: string; readonly firstMs: number },
  ): Effect.Effect<AttemptResult> {
    // An intermediary may mix up or delay responses; only the echoed attempt id
    // shows that a response belongs to this attempt. No part of any other
    // response, not even its refusal, may be trusted or delivered.
    if (response.header("umbermast-attempt-id") !== expected.attemptId) {
      response.destroy();
      this.#services.connections.dropIdle(this.#input.grant.runner);
      const resumable = this.#isResumable();
      return Effect.succeed(
        lost("answer_crossed", { outcome: "unknown", resumable }),
      );
    }
    if (response.header("umbermast-started") === "false") {
      response.destroy();
      return Effect.succeed(refused(response.header("retry-after")));
    }
    const { call } = this.#input;
    const streams = response.header("content-type")?.startsWith(EVENT_STREAM);
    if (streams && call.streamed && call.model !== undefined) {
      return catchDisconnect(this.#relayStream(response, expected.firstMs));
    }
    // The engine answered a resume with something other than a stream.
    if (this.#sendCount > 1) {
      return Effect.succeed(notRun("runner_refused", "The stream is not held"));
    }
    return catchDisconnect(this.#relayBufferedResponse(response));
  }

  #relayStream(
    response: RunnerResponse,
    firstMs: number,
  ): Effect.Effect<AttemptResult, CallerGone> {
    const { reply } = this.#input;
    const { clock, settings, connections } = this.#services;
    const progress = this.metrics.progress;
    return Effect.gen({ self: this }, function* () {
      const result = yield* relayStream(response, {
        reply,
        settings,
        clock,
        progress,
        firstMs,
      });
      if (result._tag === "Complete") {
        return { _tag: "Complete", status: response.status } as const;
      }
      const outcome = "failed";
      if (result.reason === "silent") {
        connections.dropIdle(this.#input.grant.runner);
        const resumable = this.#isResumable();
        return lost("runner_silent", { outcome, resumable });
      }
      const code = result.reason === "engine-error"
        ? "runner_failed"
        : "answer_broken";
      const resumable = this.#isResumable() &&
        (result.reason === "reset" || result.reason === "no-end-mark");
      return lost(code, { outcome, resumable });
    });
  }

  #relayBufferedResponse(
    response: RunnerResponse,
  ): Effect.Effect<AttemptResult, CallerGone> {
    const { call, reply } = this.#input;
    const { settings } = this.#services;
    return Effect.gen({ self: this }, function* () {
      // An engine's 5xx counts as a failed attempt, so that a repeatable request
      // can be retried at another runner. Responses of plain services are always
      // forwarded, whatever their status.
      if (call.model !== undefined && response.status >= 500) {
        return lost("runner_failed", { outcome: "failed", resumable: false });
      }
      const result = yield* relayBuffered(response, { call, reply, settings });
      if (result._tag === "Complete") {
        this.metrics.usage = result.usage;
        return { _tag: "Complete", status: response.status } as const;
      }
      const code = result.reason === "silent"
        ? "runner_silent"
        : "answer_broken";
      return lost(code, { outcome: "failed", resumable: false });
    });
  }
}
