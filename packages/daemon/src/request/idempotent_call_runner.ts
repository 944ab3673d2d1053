/**
 * Runs calls that are not repeatable and carry an idempotency key.
 *
 * @module
 */
import type {
  Claim,
  ClaimOutcome,
  Claims,
  ClaimSettlement,
  ClaimUnavailable,
  CrashPoints,
  KeptAnswer,
} from "@umbermast/coordination";
import { createHash } from "node:crypto";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import type { Fields, Log } from "../process/log.ts";
import type { Call, CallResult, CallRunner, Problem, Reply } from "./call.ts";
import { RecordingReply } from "./recording_reply.ts";
import type { Denial } from "./call_state.ts";
import type { RetryingCallRunner } from "./retrying_call_runner.ts";

/** Services that the idempotent call runner uses. */
export interface IdempotentServices {
  readonly claims: Claims;
  readonly log: Log;
  /** Set in tests only. */
  readonly crashPoints?: CrashPoints;
}

/** Marks a response that was stored for an earlier request with the same key. */
const REPLAYED_HEADER = { name: "idempotent-replayed", value: "true" };

/** Attempts to claim a key again, and the pause between them in milliseconds. */
const MAX_RECLAIMS = 3;
const RECLAIM_PAUSE_MS = 100;

/** Suggested retry delay while the first request is running, in milliseconds. */
const RUNNING_RETRY_MS = 1_000;

/**
 * Claims the key of a call before its send, in this order: claim; acquire a
 * slot; send; deliver; settle the claim. The key is claimed before a slot is
 * requested, so that a second request with the same key gets the first one's
 * response, or the error that it may have run, even when no slot is free.
 *
 * Repeatable calls and calls without a key are passed on unchanged: without a
 * key nothing links a second request to the first, so the only guarantee is
 * that this request is sent once.
 */
export class IdempotentCallRunner implements CallRunner {
  readonly #runner: RetryingCallRunner;
  readonly #services: IdempotentServices;

  constructor(runner: RetryingCallRunner, services: IdempotentServices) {
    this.#runner = runner;
    this.#services = services;
  }

  run(call: Call, reply: Reply): Effect.Effect<CallResult> {
    const { idempotencyKey } = call;
    if (call.repeatable || idempotencyKey === undefined) {
      return this.#runner.run(call, reply);
    }
    return Effect.uninterruptibleMask((restore) =>
      Effect.gen({ self: this }, function* () {
        const claim = new CallClaim(call, this.#services);
        const first = yield* Effect.exit(restore(claim.claim()));
        if (Exit.isFailure(first)) {
          const denial = Exit.findErrorOption(first);
          if (denial._tag === "None") return yield* Effect.interrupt;
          return yield* restore(denial.value.respond(reply));
        }
        const recorder = new RecordingReply(reply);
        const run = this.#runner.runGuarded(call, recorder, {
          permit: claim.ensureFresh(),
        });
        const exit = yield* Effect.exit(run);
        const settlement = settlementOf(exit, recorder);
        const { crashPoints } = this.#services;
        if (crashPoints !== undefined) {
          yield* crashPoints.reached("answer.after_end");
        }
        yield* claim.settle(settlement);
        return yield* exit;
      })
    );
  }
}

/** The claim of one call, renewed when it expires before the send. */
class CallClaim {
  readonly #call: Call;
  readonly #services: IdempotentServices;
  readonly #digest: string;
  #claim: Claim | undefined;

  constructor(call: Call, services: IdempotentServices) {
    this.#call = call;
    this.#services = services;
    this.#digest = digestOf(call);
  }

  claim(): Effect.Effect<void, Denial> {
    const claimed = this.#services.claims.claim(keyOf(this.#call), {
      digest: this.#digest,
    });
    return Effect.matchEffect(claimed, {
      onFailure: (unavailable) => {
        const { reason, detail } = unavailable;
        this.#logDecision("unavailable", { reason, detail });
        return Effect.fail(denialOfProblem(problemOfUnavailable(unavailable)));
      },
      onSuccess: (outcome) => {
        this.#logDecision(outcome._tag);
        if (outcome._tag !== "Claimed") {
          return Effect.fail(denialOf(outcome));
        }
        this.#claim = outcome.claim;
        return Effect.void;
      },
    });
  }

  /**
   * Allows the send only under a claim that has not expired. If the process was
   * paused, or the request waited long for a slot, the claim may have expired
   * and a second request may have claimed the key since: sending would run the
   * call twice. The old claim is released and a new one is requested.
   */
  ensureFresh(): Effect.Effect<void, Denial> {
    return Effect.suspend(() => {
      const claim = this.#claim;
      if (claim === undefined) return this.claim();
      if (claim.mayStart()) return Effect.void;
      this.#claim = undefined;
      const returned = claim.settle({ _tag: "NotRun" });
      return Effect.andThen(returned, this.#reclaim());
    });
  }

  /** Claims again, with retries: the store may not have removed the old claim yet. */
  #reclaim(): Effect.Effect<void, Denial> {
    return Effect.gen({ self: this }, function* () {
      for (let attempts = 1; attempts < MAX_RECLAIMS; attempts++) {
        const exit = yield* Effect.exit(this.claim());
        if (Exit.isSuccess(exit)) return;
        yield* Effect.sleep(RECLAIM_PAUSE_MS);
      }
      yield* this.claim();
    });
  }

  settle(settlement: ClaimSettlement): Effect.Effect<void> {
    const claim = this.#claim;
    if (claim === undefined) return Effect.void;
    return claim.settle(settlement);
  }

  #logDecision(outcome: string, failure: Fields = {}): void {
    this.#services.log.decision("claim_decided", {
      requestId: this.#call.requestId,
      outcome,
      ...failure,
    });
  }
}

/** Scopes an idempotency key to its workspace and service. */
function keyOf(call: Call): string {
  return JSON.stringify([call.workspace, call.service, call.idempotencyKey]);
}

function digestOf(call: Call): string {
  return createHash("sha256")
    .update(JSON.stringify([call.method, call.path]))
    .update(call.body)
    .digest("base64url");
}

/**
 * Builds the settlement of a call's claim. Such a call can be interrupted only
 * before its send; afterwards it runs to its end.
 */
function settlementOf(
  exit: Exit.Exit<CallResult>,
  recorder: RecordingReply,
): ClaimSettlement {
  if (Exit.isFailure(exit)) {
    return Exit.hasInterrupts(exit)
      ? { _tag: "NotRun" }
      : { _tag: "MayHaveRun" };
  }
  const result = exit.value;
  if (result._tag === "Complete") {
    const answer = recorder.recording;
    return answer === undefined
      ? { _tag: "Answered" }
      : { _tag: "Answered", answer };
  }
  const notRun = result._tag === "Ended" &&
    result.problem.outcome === "not-run";
  return { _tag: notRun ? "NotRun" : "MayHaveRun" };
}

function denialOf(outcome: Exclude<ClaimOutcome, { _tag: "Claimed" }>): Denial {
  switch (outcome._tag) {
    case "Answered":
      return {
        _tag: "Denial",
        respond: (reply) => replay(outcome.answer, reply),
      };
    case "Mismatch":
      return denialOfProblem({
        status: 422,
        code: "idempotency_key_reused",
        message:
          "The idempotency key was used with another request; use a new key",
        outcome: "not-run",
        place: "header/idempotency-key",
      });
    case "Taken":
      return denialOfProblem(problemOfTaken(outcome.state));
  }
}

function problemOfTaken(
  state: "running" | "answered" | "may-have-run",
): Problem {
  const problem = {
    status: 409,
    code: "may_have_run",
    outcome: "unknown",
  } as const;
  switch (state) {
    case "running":
      return {
        ...problem,
        message: "An earlier try with this key is running; ask again for it",
        retryAfterMs: RUNNING_RETRY_MS,
      };
    case "answered":
      return {
        ...problem,
        message: "An earlier try with this key ran; its answer is not kept",
      };
    case "may-have-run":
      return {
        ...problem,
        message: "An earlier try with this key may have run",
      };
  }
}

function problemOfUnavailable(unavailable: ClaimUnavailable): Problem {
  return {
    status: 503,
    code: "claims_unavailable",
    message: unavailable.message,
    outcome: "not-run",
    retryAfterMs: unavailable.retryAfterMs,
  };
}

function denialOfProblem(problem: Problem): Denial {
  return {
    _tag: "Denial",
    respond: (reply) =>
      Effect.sync(() => {
        reply.refuse(problem);
        return { _tag: "Ended", problem };
      }),
  };
}

function replay(answer: KeptAnswer, reply: Reply): Effect.Effect<CallResult> {
  const { status, headers, body } = answer;
  reply.writeHead({ status, headers: [...headers, REPLAYED_HEADER] });
  return Effect.match(reply.write(body), {
    onFailure: (gone): CallResult => ({
      _tag: "CallerLeft",
      reason: gone.reason,
    }),
    onSuccess: (): CallResult => {
      reply.end();
      return { _tag: "Complete", status };
    },
  });
}
