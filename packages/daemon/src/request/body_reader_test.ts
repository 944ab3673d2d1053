import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { bodyLimits, BufferBudget } from "@umbermast/router/budget";
import * as Effect from "effect/Effect";
import type { Problem } from "./call.ts";
import { readBody } from "./body_reader.ts";
import { HeldBody } from "./held_body.ts";

const LIMITS = { bodyBytes: 100_000, bodyTimeoutMs: 10_000 };

/** Starts to read a body, of which a test sends what it wants. */
function startRead(budget: BufferBudget) {
  const request = new IncomingMessage(new Socket());
  request.complete = true;
  const held = new HeldBody(budget, request.socket);
  const result = Effect.runPromise(
    readBody(request, { limits: LIMITS, held }).pipe(
      Effect.map((body) => body.length),
      Effect.catch((problem: Problem) => Effect.succeed(problem.code)),
    ),
  );
  return { request, held, result };
}

// Guards against bodies that are bounded only one by one.
test("a body for which the others leave no room is refused", async () => {
  const budget = new BufferBudget(bodyLimits(60_000));
  const first = startRead(budget);
  first.request.push(Buffer.alloc(50_000));
  first.request.push(null);
  assert.equal(await first.result, 50_000);
  const second = startRead(budget);
  second.request.push(Buffer.alloc(20_000));
  assert.equal(await second.result, "buffers_full");
  second.held.release();
  first.held.release();
  const third = startRead(budget);
  third.request.push(Buffer.alloc(20_000));
  third.request.push(null);
  assert.equal(await third.result, 20_000);
});

// Guards against bodies without an end that keep those of other callers out.
test("a body that hardly comes makes room for others", async () => {
  const budget = new BufferBudget(bodyLimits(60_000));
  const stalled = startRead(budget);
  stalled.request.push(Buffer.alloc(50_000));
  await pause(1_100);
  const other = startRead(budget);
  other.request.push(Buffer.alloc(20_000));
  other.request.push(null);
  assert.equal(await other.result, 20_000);
  assert.equal(await stalled.result, "body_stalled");
});

// Guards against chunks of one byte that take hundreds of times their size.
test("a body in tiny chunks is counted with what it takes", async () => {
  const budget = new BufferBudget(bodyLimits(60_000));
  const { request, held, result } = startRead(budget);
  for (let index = 0; index < 20_000; index++) request.push(Buffer.from("x"));
  request.push(null);
  assert.equal(await result, 20_000);
  assert.ok(budget.buffered.bodies < 60_000, `${budget.buffered.bodies}`);
  held.release();
  assert.equal(budget.buffered.bodies, 0);
});
