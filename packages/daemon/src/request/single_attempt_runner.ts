/**
 * Runs a call with one attempt.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Agent, request as httpRequest } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import * as Effect from "effect/Effect";
import type { Grant } from "./ask.ts";
import type { Call, CallRunner, Ending, Problem, Reply } from "./call.ts";
import { headerLines } from "./end_to_end_headers.ts";
import { problem } from "./problems.ts";
import type { Scheduler } from "./scheduler.ts";

const agent = new Agent({ keepAlive: true });

/** Runs a call with one attempt, without resume or retry. */
export class SingleAttemptRunner implements CallRunner {
  readonly #scheduler: Scheduler;

  constructor(scheduler: Scheduler) {
    this.#scheduler = scheduler;
  }

  run(call: Call, reply: Reply): Effect.Effect<Ending> {
    const { requestId, service, workspace, promptTokens, deadline } = call;
    return this.#scheduler.acquire({
      askId: randomUUID(),
      requestId,
      service,
      workspace,
      class: call.class,
      promptTokens,
      deadline,
      excluded: [],
    }).pipe(
      Effect.flatMap((grant) => relay(call, { reply, grant })),
      Effect.catch((failure) =>
        Effect.sync((): Ending => {
          const found = failure._tag === "Refusal"
            ? problem(failure.code, failure.message, failure)
            : failure.problem;
          if (reply.begun) reply.breakOff(found);
          else reply.refuse(found);
          return { _tag: "Ended", problem: found };
        })
      ),
    );
  }
}

interface AttemptFailed {
  readonly _tag: "AttemptFailed";
  readonly problem: Problem;
}

function failed(message: string): AttemptFailed {
  const found = problem("runner_failed", message, { outcome: "unknown" });
  return { _tag: "AttemptFailed", problem: found };
}

function open(
  call: Call,
  grant: Grant,
): Effect.Effect<
  { readonly sent: ClientRequest; readonly answer: IncomingMessage },
  AttemptFailed
> {
  return Effect.callback((resume) => {
    const sent = httpRequest({
      agent,
      host: grant.runner.address,
      port: grant.runner.port,
      method: call.method,
      path: call.path,
      headers: [
        ...call.headers.flatMap(({ name, value }) => [name, value]),
        ...["host", `${grant.runner.address}:${grant.runner.port}`],
        ...["content-length", String(call.body.length)],
        ...["umbermast-request-id", call.requestId],
        ...["umbermast-attempt-id", randomUUID()],
        ...["umbermast-priority", String(call.tier)],
        ...(call.idempotencyKey === undefined
          ? []
          : ["idempotency-key", call.idempotencyKey]),
      ],
    });
    sent.once("response", (answer) => resume(Effect.succeed({ sent, answer })));
    sent.once("error", (error) => resume(Effect.fail(failed(error.message))));
    sent.end(call.body);
    return Effect.sync(() => sent.destroy());
  });
}

function relay(
  call: Call,
  { reply, grant }: { readonly reply: Reply; readonly grant: Grant },
): Effect.Effect<Ending, AttemptFailed> {
  return Effect.gen(function* () {
    const { sent, answer } = yield* open(call, grant);
    return yield* pump(answer, reply).pipe(
      Effect.onInterrupt(() => Effect.sync(() => sent.destroy())),
    );
  }).pipe(
    Effect.ensuring(
      Effect.sync(() =>
        grant.release({ outcome: "complete", promptTokens: 0, outputTokens: 0 })
      ),
    ),
  );
}

function pump(
  answer: IncomingMessage,
  reply: Reply,
): Effect.Effect<Ending, AttemptFailed> {
  return Effect.gen(function* () {
    const status = answer.statusCode ?? 502;
    reply.begin({ status, headers: headerLines(answer.rawHeaders) });
    const chunks = answer[Symbol.asyncIterator]();
    while (true) {
      const next = yield* Effect.tryPromise({
        try: () => chunks.next(),
        catch: (error) => failed(String(error)),
      });
      if (next.done) break;
      yield* reply.write(next.value);
    }
    reply.end();
    return { _tag: "Complete", status } as const;
  }).pipe(
    Effect.catchTag("CallerGone", ({ reason }) =>
      Effect.sync((): Ending => {
        answer.destroy();
        return { _tag: "CallerLeft", reason };
      })),
  );
}
