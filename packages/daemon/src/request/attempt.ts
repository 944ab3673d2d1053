/**
 * One attempt: a request sent to one runner, and its answer relayed.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import {
  exchange,
  type HeadLimits,
  type NoAnswer,
  type RunnerAnswer,
} from "../connection/runner_answer.ts";
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { Log } from "../process/log.ts";
import { type AttemptMark, requestHeaders } from "./answer_head.ts";
import type { Grant } from "./ask.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { Call, CallerGone, Reply } from "./call.ts";
import type { AttemptEnd, Lost, NotRun } from "./outcome.ts";
import { cancelAtEngine } from "./engine_cancel.ts";
import { relayStream, StreamProgress } from "./stream_relay.ts";
import { type Usage, usageOfEvent } from "./usage.ts";
import { relayWhole } from "./whole_relay.ts";

/** What attempts need of the daemon. */
export interface AttemptServices {
  readonly connections: RunnerConnections;
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: AttemptSettings;
}

/** One caller's request on its way through its attempts. */
export interface AttemptTarget {
  readonly call: Call;
  readonly reply: Reply;
  readonly grant: Grant;
  /** Number of the attempt within the request, from 1. */
  readonly number: number;
  /** Monotonic milliseconds after which the grant may not be used. */
  readonly grantUntil: number;
  /** Monotonic milliseconds of the request's deadline. */
  readonly deadlineAt: number;
}

const EVENT_STREAM = "text/event-stream";
const MS_PER_SECOND = 1_000;

/** Sends one request and relays its answer; resumes a stream that breaks. */
export class Attempt {
  readonly #services: AttemptServices;
  readonly #target: AttemptTarget;
  readonly #progress = new StreamProgress();
  #answer: RunnerAnswer | undefined;
  #sentAt: number | undefined;
  #sends = 0;
  #usage: Usage | undefined;
  #firstByteAt: number | undefined;

  constructor(services: AttemptServices, target: AttemptTarget) {
    this.#services = services;
    this.#target = target;
  }

  /** Tokens that the caller was given. */
  get tokens(): number {
    return this.#usage?.outputTokens ?? this.#progress.tokens;
  }

  get promptTokens(): number {
    return this.#usage?.promptTokens ?? this.#target.call.promptTokens;
  }

  /** Milliseconds from the send to the first token. */
  get firstTokenMs(): number | undefined {
    const first = this.#progress.firstAt ?? this.#firstByteAt;
    if (first === undefined || this.#sentAt === undefined) return undefined;
    return first - this.#sentAt;
  }

  /** Mean milliseconds between tokens. */
  get betweenTokensMs(): number | undefined {
    const { firstAt, lastAt, tokens } = this.#progress;
    if (firstAt === undefined || lastAt === undefined) return undefined;
    if (tokens < 2) return undefined;
    return (lastAt - firstAt) / (tokens - 1);
  }

  /** Runs to the end. After interruption, `abandon` must be called. */
  run(): Effect.Effect<AttemptEnd> {
    return Effect.gen({ self: this }, function* () {
      let end = yield* this.#send({});
      let fruitless = 0;
      while (end._tag === "Lost" && end.resumable) {
        if (fruitless >= this.#services.settings.fruitlessResumes) break;
        const before = this.#progress.tokens;
        const resumed = yield* this.#resume(end);
        if (resumed === undefined) break;
        end = resumed;
        fruitless = this.#progress.tokens > before ? 0 : fruitless + 1;
      }
      if (this.#progress.tokens > 0) {
        this.#usage = usageOfEvent(this.#progress.lastEvent);
      }
      return end;
    });
  }

  /**
   * Drops the connection and stops the run at the engine. Without the order
   * an engine that keeps streams for a resume would run on for nobody.
   */
  abandon(): void {
    this.#answer?.destroy();
    if (this.#sentAt === undefined || !this.#mayResume()) return;
    const { call, grant } = this.#target;
    cancelAtEngine(this.#services.connections, grant.runner, call);
  }

  #mayResume(): boolean {
    const { call } = this.#target;
    // An engine that does not know of resumes takes one for a new request.
    // For a request that may not be repeated that would be a second run.
    return call.streamed && call.model !== undefined && call.repeatable;
  }

  #send(
    resume: { readonly offset?: number },
  ): Effect.Effect<AttemptEnd> {
    const { call, grant, grantUntil, number } = this.#target;
    const { clock, connections, settings } = this.#services;
    return Effect.gen({ self: this }, function* () {
      // A daemon that was paused wakes with grants that the broker has given
      // to others since; using one would overload the runner.
      if (resume.offset === undefined && clock.monotonic() >= grantUntil) {
        return notRun(
          "grant_expired",
          "The slot's time passed before the send",
        );
      }
      this.#sends += 1;
      const attemptId = `${call.requestId}.${number}.${this.#sends}`;
      const mark: AttemptMark = {
        attemptId,
        ...(this.#mayResume() && { resumableS: settings.resumableS }),
        ...(resume.offset !== undefined && { resumeOffset: resume.offset }),
      };
      const sentAt = clock.monotonic();
      this.#sentAt ??= sentAt;
      const limits = this.#headLimits(resume.offset !== undefined);
      const head = yield* Effect.result(exchange(
        { connections, runner: grant.runner },
        {
          method: call.method,
          path: call.path,
          headers: requestHeaders(call, mark),
          body: call.body,
          // A kept connection may have been closed by the runner unseen. Its
          // reset does not tell whether the request had arrived before; on a
          // new one, a connection that was refused is proof that it had not.
          fresh: !call.repeatable || resume.offset !== undefined,
        },
        limits,
      ));
      if (head._tag === "Failure") return this.#unanswered(head.failure);
      this.#answer = head.success;
      const end = yield* this.#relay(head.success, {
        attemptId,
        firstMs: limits.headMs,
      });
      if (end._tag !== "Complete") head.success.destroy();
      return end;
    });
  }

  /** Asks for the rest of a broken stream; `undefined` when there is none to have. */
  #resume(end: Lost): Effect.Effect<AttemptEnd | undefined> {
    const { call, grant } = this.#target;
    return Effect.gen({ self: this }, function* () {
      const offset = this.#progress.tokens;
      const next = yield* this.#send({ offset });
      this.#services.log.decision("stream_resumed", {
        requestId: call.requestId,
        runner: grant.runner.name,
        offset,
        cause: end.code,
        outcome: next._tag === "NotRun" ? "refused" : next._tag,
      });
      return next._tag === "NotRun" ? undefined : next;
    });
  }

  #headLimits(resumed: boolean): HeadLimits {
    const { call, deadlineAt } = this.#target;
    const { clock, settings } = this.#services;
    const left = Math.max(1, deadlineAt - clock.monotonic());
    const connectMs = Math.min(settings.connectMs, left);
    if (resumed) return { connectMs, headMs: settings.resumeHeadMs };
    if (!call.streamed) return { connectMs, headMs: this.#wholeMs() };
    return { connectMs, headMs: Math.min(settings.firstTokenMs, left) };
  }

  /**
   * A whole answer shows no progress before its head, so its limit follows
   * from the most tokens that it can have.
   */
  #wholeMs(): number {
    const { call } = this.#target;
    const { settings } = this.#services;
    if (call.model === undefined || call.maxTokens === undefined) {
      return settings.wholeAnswerMs;
    }
    const expected = settings.firstTokenMs +
      call.maxTokens * settings.wholeAnswerTokenMs;
    return Math.min(settings.wholeAnswerMs, expected);
  }

  #unanswered(failure: NoAnswer): AttemptEnd {
    const { connections } = this.#services;
    if (failure.reason === "silent") {
      connections.dropIdle(this.#target.grant.runner);
    }
    if (!failure.mayHaveArrived) {
      return notRun("runner_unreachable", "The runner cannot be reached");
    }
    const resumable = this.#mayResume();
    if (failure.reason === "silent") {
      return lost("runner_silent", { standing: "unknown", resumable });
    }
    return lost("answer_lost", { standing: "unknown", resumable });
  }

  #relay(
    answer: RunnerAnswer,
    expected: { readonly attemptId: string; readonly firstMs: number },
  ): Effect.Effect<AttemptEnd> {
    // Something between both ends may cross or delay answers; only the echo
    // of this attempt's own id shows whose answer this is. Nothing of any
    // other, its refusal included, may be believed or delivered.
    if (answer.header("umbermast-attempt-id") !== expected.attemptId) {
      answer.destroy();
      this.#services.connections.dropIdle(this.#target.grant.runner);
      const resumable = this.#mayResume();
      return Effect.succeed(
        lost("answer_crossed", { standing: "unknown", resumable }),
      );
    }
    if (answer.header("umbermast-started") === "false") {
      answer.destroy();
      return Effect.succeed(refused(answer));
    }
    const { call } = this.#target;
    const streams = answer.header("content-type")?.startsWith(EVENT_STREAM);
    if (streams && call.streamed && call.model !== undefined) {
      return orGone(this.#relayStream(answer, expected.firstMs));
    }
    // Asked for the rest of a stream, the engine gave something else.
    if (this.#sends > 1) {
      return Effect.succeed(notRun("runner_refused", "The stream is not held"));
    }
    return orGone(this.#relayWhole(answer));
  }

  #relayStream(
    answer: RunnerAnswer,
    firstMs: number,
  ): Effect.Effect<AttemptEnd, CallerGone> {
    const { reply } = this.#target;
    const { clock, settings, connections } = this.#services;
    const progress = this.#progress;
    return Effect.gen({ self: this }, function* () {
      const end = yield* relayStream(answer, {
        reply,
        settings,
        clock,
        progress,
        firstMs,
      });
      if (end._tag === "Whole") {
        return { _tag: "Complete", status: answer.status } as const;
      }
      const standing = "failed";
      if (end.reason === "silent") {
        connections.dropIdle(this.#target.grant.runner);
        const resumable = this.#mayResume();
        return lost("runner_silent", { standing, resumable });
      }
      const code = end.reason === "engine-error"
        ? "runner_failed"
        : "answer_broken";
      const resumable = this.#mayResume() &&
        (end.reason === "reset" || end.reason === "no-end-mark");
      return lost(code, { standing, resumable });
    });
  }

  #relayWhole(answer: RunnerAnswer): Effect.Effect<AttemptEnd, CallerGone> {
    const { call, reply } = this.#target;
    const { clock, settings } = this.#services;
    return Effect.gen({ self: this }, function* () {
      this.#firstByteAt = clock.monotonic();
      // An engine's own failure is told as such, so that a repeatable request
      // can be tried elsewhere. A plain service's answers are all its own.
      if (call.model !== undefined && answer.status >= 500) {
        return lost("runner_failed", { standing: "failed", resumable: false });
      }
      const end = yield* relayWhole(answer, { call, reply, settings });
      if (end._tag === "Whole") {
        this.#usage = end.usage;
        return { _tag: "Complete", status: answer.status } as const;
      }
      const code = end.reason === "silent" ? "runner_silent" : "answer_broken";
      return lost(code, { standing: "failed", resumable: false });
    });
  }
}

/** The caller's leaving ends the attempt as an ordinary value. */
function orGone(
  relay: Effect.Effect<AttemptEnd, CallerGone>,
): Effect.Effect<AttemptEnd> {
  return Effect.catch(
    relay,
    (gone) =>
      Effect.succeed<AttemptEnd>({ _tag: "CallerLeft", reason: gone.reason }),
  );
}

function notRun(code: NotRun["code"], message: string): NotRun {
  return { _tag: "NotRun", code, message };
}

function refused(answer: RunnerAnswer): NotRun {
  const end = notRun("runner_refused", "The runner refused to start");
  const seconds = Number(answer.header("retry-after"));
  if (!Number.isFinite(seconds) || seconds <= 0) return end;
  return { ...end, retryAfterMs: seconds * MS_PER_SECOND };
}

const LOST_MESSAGES: Readonly<Record<Lost["code"], string>> = {
  runner_failed: "The runner failed while it worked on the request",
  runner_silent: "The runner stopped answering",
  answer_lost: "The connection broke before an answer came",
  answer_broken: "The answer broke off before its end",
  answer_crossed: "The answer received belongs to another attempt",
  deadline_passed: "The deadline passed before an answer began",
};

function lost(
  code: Lost["code"],
  more: Pick<Lost, "standing" | "resumable">,
): Lost {
  return { _tag: "Lost", code, message: LOST_MESSAGES[code], ...more };
}
