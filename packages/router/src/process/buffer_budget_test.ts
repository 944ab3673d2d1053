import assert from "node:assert/strict";
import { test } from "node:test";
import {
  BufferBudget,
  bufferLimits,
  defaultBufferMb,
} from "./buffer_budget.ts";
import type { AnswerCut, CountedAnswer, CountedBody } from "./buffer_budget.ts";

const MB = 1024 * 1024;
const CHUNK = 64 * 1024;

/** An answer of one caller, and what the budget did with it. */
class Reader {
  readonly caller = {};
  readonly answer: CountedAnswer;
  readonly #budget: BufferBudget;
  paused = false;
  cut: AnswerCut | undefined;
  unread = 0;

  constructor(budget: BufferBudget) {
    this.#budget = budget;
    this.answer = budget.openAnswer(this.caller, {
      resume: () => {
        this.paused = false;
      },
      cut: (cut) => {
        this.cut = cut;
      },
    });
  }

  /** The runner sends and the caller reads some bytes. */
  step(sent: number, read: number, now: number): void {
    if (this.cut !== undefined) return;
    this.unread = Math.max(0, this.unread + (this.paused ? 0 : sent) - read);
    const hasRoom = this.#budget.setUnread(this.answer, this.unread, now);
    if (!hasRoom) this.paused = true;
  }
}

// Guards against a daemon that is killed for its memory: 60 callers read nothing of
// answers of 6.4 MB, while another one reads slowly and must get its whole answer.
test("of 60 callers that read nothing, the slowest are cut, and no reader is", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const stalled = Array.from({ length: 60 }, () => new Reader(budget));
  const slow = new Reader(budget);
  const pausedSince = new Map<Reader, number>();
  let most = 0;
  for (let now = 0; now < 60_000; now += 100) {
    for (const reader of [...stalled, slow]) {
      const sent = Math.min(CHUNK, 6.4 * MB - reader.unread);
      if (reader === slow) reader.step(CHUNK, CHUNK / 2, now);
      else reader.step(sent, 0, now);
      if (!reader.paused) pausedSince.delete(reader);
      else if (!pausedSince.has(reader)) pausedSince.set(reader, now);
      const since = pausedSince.get(reader);
      if (since === undefined || now - since < 1_000) continue;
      budget.makeRoom(reader.answer, now);
    }
    most = Math.max(most, budget.buffered.answers);
  }
  assert.equal(slow.cut, undefined);
  assert.ok(stalled.filter(({ cut }) => cut !== undefined).length >= 58);
  // Each paused answer exceeds its limit by what one read returns at most.
  assert.ok(most <= 0.75 * 16 * MB + 61 * CHUNK, `${most / MB} MB`);
});

test("the answer of a caller that exceeds its part ends, and no other one", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const [greedy, other] = [new Reader(budget), new Reader(budget)];
  other.step(2 * MB, 0, 0);
  for (let now = 0; !greedy.paused; now += 10) greedy.step(MB, 0, now);
  budget.makeRoom(greedy.answer, 2_000);
  assert.equal(greedy.cut?.limit, "caller");
  assert.equal(other.cut, undefined);
  assert.equal(budget.buffered.answers, 2 * MB);
});

// Guards against small answers that are given up for those without end.
test("where no caller is waited for, the largest answer ends", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const [large, small] = [new Reader(budget), new Reader(budget)];
  const third = new Reader(budget);
  budget.receive(third.answer, 5 * MB, 0);
  budget.receive(large.answer, 7 * MB, 0);
  assert.equal(budget.receive(small.answer, CHUNK, 0), true);
  assert.equal(budget.receive(small.answer, CHUNK, 0), false);
  budget.makeRoom(small.answer, 1_000);
  assert.equal(small.cut, undefined);
  assert.equal(third.cut, undefined);
  assert.equal(large.cut?.limit, "total");
});

test("a runner that waits for room is read again once its caller has read", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const reader = new Reader(budget);
  reader.step(9 * MB, 0, 0);
  assert.equal(reader.paused, true);
  reader.step(0, CHUNK, 100);
  assert.equal(reader.paused, true);
  reader.step(0, 2 * MB, 200);
  assert.equal(reader.paused, false);
});

// Guards against new requests that are all refused while callers read nothing.
test("unread answers leave room for bodies, and bodies for answers", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const stalled = [new Reader(budget), new Reader(budget)];
  for (const reader of stalled) reader.step(6 * MB, 0, 0);
  const body = budget.openBody({});
  assert.equal(budget.reserve(body, 4 * MB, { now: 0 }), true);
  assert.equal(budget.reserve(budget.openBody({}), 1, { now: 0 }), false);
  budget.release(body, 1);
  assert.deepEqual(budget.buffered, { bodies: 0, answers: 12 * MB });
  for (const { answer } of stalled) budget.close(answer, 1);
  const bodies = [1, 2, 3].map(() => budget.openBody({}));
  const fits = bodies.map((counted) =>
    budget.reserve(counted, 6 * MB, { now: 0 })
  );
  assert.deepEqual(fits, [true, true, false]);
});

test("the default size follows the memory of the host", () => {
  const memories = [undefined, 60, 150, 210, 350];
  const sizes = (holdsStreams: boolean) =>
    memories.map((memory) => defaultBufferMb(memory, { holdsStreams }));
  assert.deepEqual(sizes(true), [16, 8, 12.5, 16, 16]);
  assert.deepEqual(sizes(false), [32, 16, 18.75, 26.25, 32]);
});

// Guards against bodies without an end that keep those of other callers out.
test("bodies that hardly arrive make room for others, the largest first", () => {
  const budget = new BufferBudget(bufferLimits(16));
  const ended: string[] = [];
  const open = (name: string) => budget.openBody({}, () => ended.push(name));
  const [small, large, steady, whole] = ["small", "large", "steady", "whole"]
    .map(open) as [CountedBody, CountedBody, CountedBody, CountedBody];
  assert.ok(budget.reserve(small, 2 * MB, { now: 0 }));
  assert.ok(budget.reserve(large, 5 * MB, { now: 0 }));
  assert.ok(budget.reserve(steady, 2 * MB, { now: 0 }));
  assert.ok(budget.reserve(whole, 2 * MB, { now: 0 }));
  budget.bodyArrived(whole);
  assert.ok(budget.reserve(steady, 3 * MB, { now: 900 }));
  const other = open("other");
  assert.equal(budget.reserve(other, 4 * MB, { now: 950 }), false);
  assert.deepEqual(ended, []);
  assert.ok(budget.reserve(other, 4 * MB, { now: 1_100 }));
  assert.deepEqual(ended, ["large"]);
  assert.equal(budget.buffered.bodies, 11 * MB);
});
