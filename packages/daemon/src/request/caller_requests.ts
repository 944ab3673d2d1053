/**
 * Serves callers' requests, each in its own fiber.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { bodyLimits, BufferBudget } from "@umbermast/router/budget";
import { countRequest, RequestBudget } from "@umbermast/router/requests";
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
import { admit, buildCall } from "./admission.ts";
import type { ArrivedRequest } from "./admission.ts";
import { readBody } from "./body_reader.ts";
import type { Call, CallResult, CallRunner, Problem } from "./call.ts";
import { HeldBody } from "./held_body.ts";
import { headerLines } from "./end_to_end_headers.ts";
import { HttpReply } from "./http_reply.ts";
import { modelList } from "./model_list.ts";
import { problem, rawResponse } from "./problems.ts";

/** Bytes that the largest body may take beside its content. */
const BODY_OVERHEAD_BYTES = 256 * 1024;

/** Observes the ends of requests, for metrics. */
export interface RequestObserver {
  /** Reports the result of a call. */
  callEnded(
    call: Call,
    options: {
      readonly result: CallResult;
      /** Epoch milliseconds of the response's head; undefined without one. */
      readonly headersSentAt: number | undefined;
    },
  ): void;
  /** Reports a request that was refused before it became a call. */
  requestRefused(problem: Problem): void;
  /** Reports a connection that was closed because of the connection limit. */
  connectionDropped(): void;
}

/** Collaborators and limits of the request handler. */
export interface CallerDependencies {
  readonly runner: CallRunner;
  readonly limits: CallerLimits;
  /** Bytes that open requests may take without their bodies. */
  readonly requestBytes: number;
  readonly log: Log;
  readonly observer: RequestObserver;
  /** The current table; undefined until one has been read. */
  readonly table: () => TableVersion | undefined;
  /** Whether the daemon is shutting down and takes no new requests. */
  readonly isShuttingDown: () => boolean;
}

interface ActiveRequest {
  readonly fiber: Fiber.Fiber<void>;
  readonly reply: HttpReply;
}

/** Builds the log fields of a call's result. */
function resultFields(result: CallResult) {
  if (result._tag === "Complete") {
    return { outcome: "complete", status: result.status };
  }
  if (result._tag === "CallerLeft") {
    return { outcome: "caller-left", reason: result.reason };
  }
  const { outcome, code, status } = result.problem;
  return { outcome, code, status };
}

/** Lifts a result into an effect. */
function fromResult<A>(result: Result<A, Problem>): Effect.Effect<A, Problem> {
  return result.match<Effect.Effect<A, Problem>>(Effect.succeed, Effect.fail);
}

/** Serves callers' requests. */
export class CallerRequests implements CallerHandler {
  readonly #dependencies: CallerDependencies;
  readonly #active = new TrackedSet<ActiveRequest>();
  readonly #bodies: BufferBudget;
  readonly #requests: RequestBudget;
  #stopped = false;

  constructor(dependencies: CallerDependencies) {
    this.#dependencies = dependencies;
    this.#requests = new RequestBudget(dependencies.requestBytes);
    const { bodyBytes, heldBodyBytes } = dependencies.limits;
    this.#bodies = new BufferBudget(
      bodyLimits(Math.max(heldBodyBytes, bodyBytes + BODY_OVERHEAD_BYTES)),
    );
  }

  /** Number of requests being served. */
  get inFlight(): number {
    return this.#active.size;
  }

  /** Completes when no request is being served. */
  readonly idle: Effect.Effect<void> = this.#active.whenEmpty;

  /** Interrupts every request; each open response is aborted. */
  interruptAll(): void {
    this.#stopped = true;
    for (const { fiber } of this.#active) fiber.interruptUnsafe();
  }

  /** Aborts the responses of requests whose fibers cannot be interrupted. */
  abandonAll(): void {
    for (const { reply } of this.#active) this.#abandon(reply);
  }

  /** Serves one request. */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { readonly pipelined: boolean },
  ): void {
    const hasRoom = countRequest(this.#requests, { request, response });
    const { queuedRequests } = this.#dependencies.limits;
    const arrival: ArrivedRequest = {
      requestId: randomUUID(),
      request,
      pipelined: options.pipelined,
      overLimit: !hasRoom || this.#active.size >= queuedRequests,
      headers: headerLines(request.rawHeaders),
      arrivedAt: Date.now(),
    };
    const reply = new HttpReply(response, {
      requestId: arrival.requestId,
      writeTimeoutMs: this.#dependencies.limits.callerWriteTimeoutMs,
      isShuttingDown: this.#dependencies.isShuttingDown,
    });
    const held = new HeldBody(this.#bodies, request.socket);
    const fiber = Effect.runFork(this.#handle(arrival, { reply, held }));
    const active = { fiber, reply };
    this.#active.add(active);
    // When the caller disconnects, the fiber is interrupted immediately, which
    // also cancels the engine's work. A write that times out on a slow caller
    // fails by itself with that reason.
    response.once("close", () => {
      if (response.writableFinished || reply.gone?.reason === "slow") return;
      fiber.interruptUnsafe();
    });
    fiber.addObserver((exit) => {
      if (Exit.isFailure(exit)) {
        this.#handleFailure(arrival, { reply, cause: exit.cause });
      }
      held.release();
      this.#active.delete(active);
    });
  }

  faultResponse(fault: ConnectionFault): string {
    const { code, message, place } = fault;
    const requestId = randomUUID();
    const found = problem(code, message, { place });
    this.#recordRefusal(requestId, found);
    return rawResponse(found, requestId);
  }

  connectionDropped(): void {
    this.#dependencies.observer.connectionDropped();
  }

  #handle(
    arrival: ArrivedRequest,
    { reply, held }: { readonly reply: HttpReply; readonly held: HeldBody },
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { isShuttingDown, limits, runner, table } = this.#dependencies;
      if (isShuttingDown()) return yield* Effect.fail(shutdownProblem());
      const admitted = yield* fromResult(admit(arrival, table()));
      if (arrival.overLimit) {
        return yield* Effect.fail(overLimitProblem(limits.queuedRequests));
      }
      reply.sendContinue();
      const body = yield* readBody(arrival.request, { limits, held });
      if (admitted.route._tag === "Models") {
        return reply.sendJson(modelList(admitted.table.table));
      }
      const call = yield* fromResult(buildCall(admitted, body));
      const result = yield* runner.run(call, reply).pipe(
        Effect.onInterrupt(() =>
          Effect.sync(() =>
            this.#recordResult(call, {
              result: this.#interruptionResult(reply),
              reply,
            })
          )
        ),
      );
      this.#recordResult(call, { result, reply });
    }).pipe(
      Effect.catch((problem) =>
        Effect.sync(() => this.#refuse(arrival, { reply, problem }))
      ),
    );
  }

  #recordResult(
    call: Call,
    { result, reply }: {
      readonly result: CallResult;
      readonly reply: HttpReply;
    },
  ): void {
    const { headersSentAt } = reply;
    this.#dependencies.observer.callEnded(call, {
      result,
      headersSentAt,
    });
    this.#dependencies.log.event("request_ended", {
      requestId: call.requestId,
      workspace: call.workspace,
      class: call.class,
      service: call.service,
      ...resultFields(result),
      answerMs: headersSentAt === undefined
        ? undefined
        : headersSentAt - call.arrivedAt,
      durationMs: Date.now() - call.arrivedAt,
    });
  }

  #refuse(
    arrival: ArrivedRequest,
    { reply, problem }: {
      readonly reply: HttpReply;
      readonly problem: Problem;
    },
  ): void {
    reply.refuse(problem);
    this.#recordRefusal(arrival.requestId, problem);
  }

  #recordRefusal(requestId: string, problem: Problem): void {
    this.#dependencies.observer.requestRefused(problem);
    this.#dependencies.log.event("request_refused", {
      requestId,
      code: problem.code,
      status: problem.status,
      place: problem.place,
    });
  }

  /** Handles a fiber that was interrupted or failed with a defect. */
  #handleFailure(
    arrival: ArrivedRequest,
    { reply, cause }: {
      readonly reply: HttpReply;
      readonly cause: Cause.Cause<never>;
    },
  ): void {
    const { requestId } = arrival;
    if (Cause.hasInterruptsOnly(cause)) {
      this.#dependencies.log.event("request_interrupted", { requestId });
    } else {
      this.#dependencies.log.warning("internal", {
        requestId,
        reason: Cause.pretty(cause),
      });
    }
    this.#abandon(reply);
  }

  /** Result of an interrupted call: the caller disconnected, or the daemon stops. */
  #interruptionResult(reply: HttpReply): CallResult {
    if (this.#stopped) {
      return { _tag: "Ended", problem: this.#unfinishedProblem(reply) };
    }
    return { _tag: "CallerLeft", reason: "closed" };
  }

  #unfinishedProblem(reply: HttpReply): Problem {
    const outcome = reply.headersSent ? "failed" : "unknown";
    const code = this.#stopped ? "stopped" : "internal";
    return problem(code, "Cannot finish the answer", { outcome });
  }

  #abandon(reply: HttpReply): void {
    reply.abandon(this.#unfinishedProblem(reply));
  }
}

function shutdownProblem(): Problem {
  return problem("leaving", "Cannot take the request: this daemon is leaving");
}

function overLimitProblem(limit: number): Problem {
  return problem(
    "too_many_requests",
    `Cannot take the request: ${limit} requests are held already`,
  );
}
