/**
 * Reads the body of a caller's request, up to a limit.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import * as Effect from "effect/Effect";
import type { Problem } from "./call.ts";
import { problem } from "./problems.ts";

function tooLarge(limit: number): Problem {
  return problem(
    "body_too_large",
    `Cannot take the body: it is longer than ${limit} bytes`,
    { place: "body" },
  );
}

function timedOut(timeoutMs: number): Problem {
  return problem(
    "body_timeout",
    `Cannot take the body: it did not come within ${timeoutMs} ms`,
    { place: "body" },
  );
}

/**
 * Reads a complete body. A disconnect of the caller interrupts the fiber, so it
 * needs no error of its own here.
 */
export function readBody(
  request: IncomingMessage,
  limits: { readonly bodyBytes: number; readonly bodyTimeoutMs: number },
): Effect.Effect<Uint8Array, Problem> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > limits.bodyBytes) {
    return Effect.fail(tooLarge(limits.bodyBytes));
  }
  return Effect.callback<Uint8Array, Problem>((resume) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const stop = () => {
      clearTimeout(timer);
      request.off("data", onData);
      request.off("end", onEnd);
    };
    const fail = (problem: Problem) => {
      stop();
      request.pause();
      resume(Effect.fail(problem));
    };
    const onData = (chunk: Buffer) => {
      length += chunk.length;
      if (length > limits.bodyBytes) return fail(tooLarge(limits.bodyBytes));
      chunks.push(chunk);
    };
    const onEnd = () => {
      stop();
      resume(
        Effect.succeed(
          chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
        ),
      );
    };
    const timer = setTimeout(
      () => fail(timedOut(limits.bodyTimeoutMs)),
      limits.bodyTimeoutMs,
    );
    request.on("data", onData);
    request.once("end", onEnd);
    return Effect.sync(stop);
  });
}
