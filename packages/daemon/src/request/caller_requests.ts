/**
 * Serves callers' requests, each in a fibre of its own.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import type * as Fiber from "effect/Fiber";
import type { Result } from "neverthrow";
import type { CallerHandler } from "../connection/caller_server.ts";
import type { ConnectionFault } from "../connection/connection_fault.ts";
import type { Log } from "../process/log.ts";
import type { CallerLimits } from "../process/settings.ts";
import type { TableVersion } from "../version/table_feed.ts";
import { TrackedSet } from "../process/tracked_set.ts";
import { admit, callOf } from "./admission.ts";
import type { Arrival } from "./admission.ts";
import { readBody } from "./body_reader.ts";
import type { Call, CallRunner, Ending, Problem } from "./call.ts";
import { headerLines } from "./end_to_end_headers.ts";
import { HttpReply } from "./http_reply.ts";
import { modelList } from "./model_list.ts";
import { problem, rawAnswer } from "./problems.ts";

/** Counts ended requests. */
export interface RequestObserver {
  /** A call that was run has ended. */
  ended(
    call: Call,
    options: {
      readonly ending: Ending;
      /** Epoch milliseconds of the answer's head; undefined without one. */
      readonly answerAt: number | undefined;
    },
  ): void;
  /** A request was refused before it became a call. */
  refused(problem: Problem): void;
  /** A connection beyond the limit was closed. */
  dropped(): void;
}

/** What serving needs from the process. */
export interface CallerEnvironment {
  readonly runner: CallRunner;
  readonly limits: CallerLimits;
  readonly log: Log;
  readonly observer: RequestObserver;
  /** The table in force; undefined until one has been read. */
  readonly table: () => TableVersion | undefined;
  /** Whether the daemon is leaving and takes no new requests. */
  readonly leaving: () => boolean;
}

interface HeldRequest {
  readonly fiber: Fiber.Fiber<void>;
  readonly reply: HttpReply;
}

/** What an ending shows in the log. */
function endingFields(ending: Ending) {
  if (ending._tag === "Complete") {
    return { outcome: "complete", status: ending.status };
  }
  if (ending._tag === "CallerLeft") {
    return { outcome: "caller-left", reason: ending.reason };
  }
  const { outcome, code, status } = ending.problem;
  return { outcome, code, status };
}

/** Lifts a result into an effect. */
function fromResult<A>(result: Result<A, Problem>): Effect.Effect<A, Problem> {
  return result.match<Effect.Effect<A, Problem>>(Effect.succeed, Effect.fail);
}

/** Serves callers' requests. */
export class CallerRequests implements CallerHandler {
  readonly #environment: CallerEnvironment;
  readonly #held = new TrackedSet<HeldRequest>();
  #stopped = false;

  constructor(environment: CallerEnvironment) {
    this.#environment = environment;
  }

  /** Requests being served. */
  get inFlight(): number {
    return this.#held.size;
  }

  /** Ends when no request is being served. */
  readonly idle: Effect.Effect<void> = this.#held.whenEmpty;

  /** Interrupts every request; each answer gets a broken end. */
  interruptAll(): void {
    this.#stopped = true;
    for (const { fiber } of this.#held) fiber.interruptUnsafe();
  }

  /** Gives a broken end to answers whose fibres cannot be interrupted. */
  abandonAll(): void {
    for (const { reply } of this.#held) this.#abandon(reply);
  }

  /** Serves one request. */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { readonly pipelined: boolean },
  ): void {
    const arrival: Arrival = {
      requestId: randomUUID(),
      request,
      pipelined: options.pipelined,
      excess: this.#held.size >= this.#environment.limits.queuedRequests,
      headers: headerLines(request.rawHeaders),
      arrivedAt: Date.now(),
    };
    const reply = new HttpReply(response, {
      requestId: arrival.requestId,
      writeTimeoutMs: this.#environment.limits.callerWriteTimeoutMs,
      leaving: this.#environment.leaving,
    });
    const fiber = Effect.runFork(this.#answer(arrival, reply));
    const held = { fiber, reply };
    this.#held.add(held);
    // The caller has left: what it asked for is of no use, so the fibre is
    // interrupted at once and with it the engine's work. A write that gave up
    // on a slow caller fails by itself and says so.
    response.once("close", () => {
      if (response.writableFinished || reply.gone?.reason === "slow") return;
      fiber.interruptUnsafe();
    });
    fiber.addObserver((exit) => {
      if (Exit.isFailure(exit)) {
        this.#crashed(arrival, { reply, cause: exit.cause });
      }
      this.#held.delete(held);
    });
  }

  faultAnswer(fault: ConnectionFault): string {
    const { code, message, place } = fault;
    const requestId = randomUUID();
    const found = problem(code, message, { place });
    this.#noteRefusal(requestId, found);
    return rawAnswer(found, requestId);
  }

  dropped(): void {
    this.#environment.observer.dropped();
  }

  #answer(arrival: Arrival, reply: HttpReply): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { leaving, limits, runner, table } = this.#environment;
      if (leaving()) return yield* Effect.fail(leavingProblem());
      const admission = yield* fromResult(admit(arrival, table()));
      if (arrival.excess) {
        return yield* Effect.fail(fullProblem(limits.queuedRequests));
      }
      reply.askForBody();
      const body = yield* readBody(arrival.request, limits);
      if (admission.route._tag === "Models") {
        return reply.whole(modelList(admission.table.table));
      }
      const call = yield* fromResult(callOf(admission, body));
      const ending = yield* runner.run(call, reply).pipe(
        Effect.onInterrupt(() =>
          Effect.sync(() =>
            this.#ended(call, { ending: this.#interruption(reply), reply })
          )
        ),
      );
      this.#ended(call, { ending, reply });
    }).pipe(
      Effect.catch((problem) =>
        Effect.sync(() => this.#refuse(arrival, { reply, problem }))
      ),
    );
  }

  #ended(
    call: Call,
    { ending, reply }: { readonly ending: Ending; readonly reply: HttpReply },
  ): void {
    const { begunAt: answerAt } = reply;
    this.#environment.observer.ended(call, { ending, answerAt });
    this.#environment.log.event("request_ended", {
      requestId: call.requestId,
      workspace: call.workspace,
      class: call.class,
      service: call.service,
      ...endingFields(ending),
      answerMs: answerAt === undefined ? undefined : answerAt - call.arrivedAt,
      durationMs: Date.now() - call.arrivedAt,
    });
  }

  #refuse(
    arrival: Arrival,
    { reply, problem }: {
      readonly reply: HttpReply;
      readonly problem: Problem;
    },
  ): void {
    reply.refuse(problem);
    this.#noteRefusal(arrival.requestId, problem);
  }

  #noteRefusal(requestId: string, problem: Problem): void {
    this.#environment.observer.refused(problem);
    this.#environment.log.event("request_refused", {
      requestId,
      code: problem.code,
      status: problem.status,
      place: problem.place,
    });
  }

  /** The fibre ended without an ending: it was interrupted, or has a fault. */
  #crashed(
    arrival: Arrival,
    { reply, cause }: {
      readonly reply: HttpReply;
      readonly cause: Cause.Cause<never>;
    },
  ): void {
    const { requestId } = arrival;
    if (Cause.hasInterruptsOnly(cause)) {
      this.#environment.log.event("request_interrupted", { requestId });
    } else {
      this.#environment.log.warning("internal", {
        requestId,
        reason: Cause.pretty(cause),
      });
    }
    this.#abandon(reply);
  }

  /** What an interruption means: the caller has left, or the daemon stops. */
  #interruption(reply: HttpReply): Ending {
    if (this.#stopped) {
      return { _tag: "Ended", problem: this.#unfinished(reply) };
    }
    return { _tag: "CallerLeft", reason: "closed" };
  }

  #unfinished(reply: HttpReply): Problem {
    const outcome = reply.begun ? "failed" : "unknown";
    const code = this.#stopped ? "stopped" : "internal";
    return problem(code, "Cannot finish the answer", { outcome });
  }

  #abandon(reply: HttpReply): void {
    reply.abandon(this.#unfinished(reply));
  }
}

function leavingProblem(): Problem {
  return problem("leaving", "Cannot take the request: this daemon is leaving");
}

function fullProblem(limit: number): Problem {
  return problem(
    "too_many_requests",
    `Cannot take the request: ${limit} requests are held already`,
  );
}
