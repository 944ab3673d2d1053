/**
 * Reads the body of a caller's request, up to a limit.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { BodyBlocks } from "@umbermast/router/body";
import * as Effect from "effect/Effect";
import type { Problem } from "./call.ts";
import type { HeldBody } from "./held_body.ts";
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

function stalled(): Problem {
  return problem(
    "body_stalled",
    "Cannot take the body: it hardly comes, and others need the room",
    { place: "body" },
  );
}

function noRoom(): Problem {
  return problem(
    "buffers_full",
    "Cannot take the body: the bodies of all callers take all room",
    { place: "body" },
  );
}

/**
 * Reads a complete body. A disconnect of the caller interrupts the fiber, so it
 * needs no error of its own here.
 *
 * @param held counts what the body takes, until its request has ended.
 */
export function readBody(
  request: IncomingMessage,
  options: {
    readonly limits: {
      readonly bodyBytes: number;
      readonly bodyTimeoutMs: number;
    };
    readonly held: HeldBody;
  },
): Effect.Effect<Uint8Array, Problem> {
  const { limits, held } = options;
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > limits.bodyBytes) {
    return Effect.fail(tooLarge(limits.bodyBytes));
  }
  if (!held.reserve(declared, 0)) return Effect.fail(noRoom());
  return Effect.callback<Uint8Array, Problem>((resume) => {
    const blocks = new BodyBlocks();
    const stop = () => {
      clearTimeout(timer);
      held.arrived();
      request.off("data", onData);
      request.off("end", onEnd);
    };
    const fail = (problem: Problem) => {
      stop();
      blocks.clear();
      request.pause();
      resume(Effect.fail(problem));
    };
    const onData = (chunk: Buffer) => {
      if (blocks.length + chunk.length > limits.bodyBytes) {
        return fail(tooLarge(limits.bodyBytes));
      }
      blocks.add(chunk);
      if (!held.reserve(blocks.heldBytes, blocks.length)) fail(noRoom());
    };
    const onEnd = () => {
      stop();
      resume(Effect.succeed(blocks.join()));
    };
    held.onStalled = () => fail(stalled());
    const timer = setTimeout(
      () => fail(timedOut(limits.bodyTimeoutMs)),
      limits.bodyTimeoutMs,
    );
    request.on("data", onData);
    request.once("end", onEnd);
    return Effect.sync(stop);
  });
}
