import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { FeedError, FeedFollower } from "./feed.ts";
import type { Changes, Feed, Listing } from "./feed.ts";

/** Plays the answers of a store one after the other, then is silent. */
class PlayedFeed implements Feed<string> {
  readonly calls: string[] = [];
  readonly #answers: (Listing<string> | Changes<string> | Error)[];
  readonly #end: () => void;

  constructor(
    answers: (Listing<string> | Changes<string> | Error)[],
    end: () => void,
  ) {
    this.#answers = answers;
    this.#end = end;
  }

  list(options: { readonly stale?: boolean } = {}): Promise<Listing<string>> {
    this.calls.push(options.stale ? "stale list" : "list");
    return this.#next() as Promise<Listing<string>>;
  }

  watch(since: number): Promise<Changes<string>> {
    this.calls.push(`watch ${since}`);
    return this.#next() as Promise<Changes<string>>;
  }

  #next(): Promise<unknown> {
    const answer = this.#answers.shift();
    if (answer instanceof Error) return Promise.reject(answer);
    if (answer !== undefined) return Promise.resolve(answer);
    this.#end();
    return new Promise(() => {});
  }
}

async function follow(
  answers: (Listing<string> | Changes<string> | Error)[],
): Promise<{ calls: readonly string[]; seen: readonly string[] }> {
  const seen: string[] = [];
  let feed: PlayedFeed | undefined;
  await new Promise<void>((resolve) => {
    feed = new PlayedFeed(answers, resolve);
    const follower = new FeedFollower(feed, {
      listed: ({ values }) => seen.push(`listed ${values}`),
      changed: ({ updated: entered }) => seen.push(`changed ${entered}`),
    }, {
      contact: {
        lost: (reason) => seen.push(`lost ${reason}`),
        regained: () => seen.push("regained"),
      },
      timing: {
        waitMs: () => 1,
        active: () => true,
        untilActive: () => Promise.resolve(),
      },
    });
    void follower.run();
  });
  return { calls: feed!.calls, seen };
}

// The store drops its history while a watch is cut. Going on from the old
// revision, the next watch waits for changes that it will never be told of,
// and requests are routed by an old version for seconds.
test("after a watch was cut, everything is read again", async () => {
  const { calls, seen } = await follow([
    { revision: 3, values: ["a"] },
    new FeedError("unavailable", "reset"),
    { revision: 9, values: ["b"] },
  ]);
  assert.deepEqual(calls, ["stale list", "watch 3", "list", "watch 9"]);
  assert.deepEqual(seen, [
    "listed a",
    "lost reset",
    "listed b",
    "regained",
  ]);
});

test("expired history is read again without being a loss", async () => {
  const { calls, seen } = await follow([
    { revision: 3, values: ["a"] },
    new FeedError("expired", "gone"),
    { revision: 9, values: ["b"] },
  ]);
  assert.deepEqual(calls, ["stale list", "watch 3", "list", "watch 9"]);
  assert.deepEqual(seen, ["listed a", "listed b"]);
});

test("changes move the revision on; an empty wait does not", async () => {
  const { calls } = await follow([
    { revision: 3, values: [] },
    { revision: 3, updated: [], removed: [] },
    { revision: 5, updated: ["b"], removed: [] },
  ]);
  assert.deepEqual(calls, ["stale list", "watch 3", "watch 3", "watch 5"]);
});

// The store answers in a shape that nobody promised. If the process ended, the
// platform would start it again to meet the same answer, on every host.
test("an answer of another shape is a lost dependency, not the end", async () => {
  const { calls, seen } = await follow([
    new TypeError("no entries"),
    { revision: 3, values: ["a"] },
  ]);
  assert.deepEqual(calls, ["stale list", "list", "watch 3"]);
  assert.deepEqual(seen, [
    "lost TypeError: no entries",
    "listed a",
    "regained",
  ]);
});

// A daemon is cut off from everything: its callers wait, and once the link is
// back it is late with all it does. The store fails, then the last peer is lost,
// and the follower is told to hurry while it does not wait for changes. From
// then on each failure counted as such a hurry, and the next call followed
// without a pause: 3,000 a second, all that the processor gives.
test("a hurry between two failures does not end the pauses", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const failures = Array.from(
    { length: 9 },
    () => new FeedError("unavailable", "down"),
  );
  const feed = new PlayedFeed(failures, () => {});
  const follower = new FeedFollower(feed, { listed() {}, changed() {} }, {
    contact: { lost: () => follower.restartWatch(), regained() {} },
    timing: {
      waitMs: () => 1,
      active: () => true,
      untilActive: () => Promise.resolve(),
    },
  });
  void follower.run();
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(feed.calls, ["stale list"], "no time has passed");
  mock.timers.tick(100);
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(feed.calls, ["stale list", "list"]);
});

// Eleven runners start within a second. A watcher that asks again at once makes
// eleven calls for them, each of which all watchers pay.
test("changes that follow each other at once are read together", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const feed = new PlayedFeed([
    { revision: 3, values: [] },
    { revision: 4, updated: ["a"], removed: [] },
    { revision: 9, updated: ["b", "c"], removed: [] },
  ], () => {});
  const seen: string[] = [];
  const follower = new FeedFollower(feed, {
    listed() {},
    changed: ({ updated: entered }) => seen.push(...entered),
  }, {
    contact: { lost() {}, regained() {} },
    timing: {
      waitMs: () => 1,
      active: () => true,
      untilActive: () => Promise.resolve(),
    },
  });
  void follower.run();
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(seen, ["a"], "known at once");
  assert.deepEqual(feed.calls, ["stale list", "watch 3"]);
  mock.timers.tick(100);
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(seen, ["a", "b", "c"]);
});
