import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { FeedError, FeedFollower } from "./feed.ts";
import type {
  Changes,
  ConnectivityListener,
  Feed,
  FollowerTiming,
  Listing,
} from "./feed.ts";
import { storeRevision } from "./store_revision.ts";

/** Replays responses of a store in order, then never responds again. */
class ScriptedFeed implements Feed<string> {
  readonly calls: string[] = [];
  readonly #responses: (Listing<string> | Changes<string> | Error)[];
  readonly #end: () => void;

  constructor(
    responses: (Listing<string> | Changes<string> | Error)[],
    end: () => void,
  ) {
    this.#responses = responses;
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
    const response = this.#responses.shift();
    if (response instanceof Error) return Promise.reject(response);
    if (response !== undefined) return Promise.resolve(response);
    this.#end();
    return new Promise(() => {});
  }
}

/** Timing of a daemon that watches the store. */
const ALWAYS_READ: FollowerTiming = {
  waitMs: () => 1,
  shouldRead: () => true,
  isStale: () => false,
  isConfirmedToOthersSince: () => false,
  untilNextCheck: () => Promise.resolve(),
};

const IGNORED: ConnectivityListener = {
  confirmed() {},
  lost() {},
  regained() {},
  unneeded() {},
};

/** Follows a scripted feed until its responses are used up. */
async function follow(
  responses: (Listing<string> | Changes<string> | Error)[],
): Promise<{ calls: readonly string[]; seen: readonly string[] }> {
  const seen: string[] = [];
  let feed: ScriptedFeed | undefined;
  await new Promise<void>((resolve) => {
    feed = new ScriptedFeed(responses, resolve);
    const follower = new FeedFollower(feed, {
      listed: ({ values }) => {
        seen.push(`listed ${values}`);
      },
      changed: ({ updated }) => seen.push(`changed ${updated}`),
    }, {
      connectivity: {
        lost: (reason) => seen.push(`lost ${reason}`),
        regained: () => seen.push("regained"),
        confirmed() {},
        unneeded() {},
      },
      timing: ALWAYS_READ,
    });
    void follower.run();
  });
  return { calls: feed!.calls, seen };
}

// Guards against missed changes. If the store drops its history while a watch is
// disconnected, a watch that continues at the old revision never receives the
// changes, and requests are routed by an old version for seconds.
test("after a watch is disconnected, all objects are listed again", async () => {
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

test("expired history causes a new list and is not reported as lost", async () => {
  const { calls, seen } = await follow([
    { revision: 3, values: ["a"] },
    new FeedError("expired", "gone"),
    { revision: 9, values: ["b"] },
  ]);
  assert.deepEqual(calls, ["stale list", "watch 3", "list", "watch 9"]);
  assert.deepEqual(seen, ["listed a", "listed b"]);
});

test("changes advance the revision; an empty watch does not", async () => {
  const { calls } = await follow([
    { revision: 3, values: [] },
    { revision: 3, updated: [], removed: [] },
    { revision: 5, updated: ["b"], removed: [] },
  ]);
  assert.deepEqual(calls, ["stale list", "watch 3", "watch 3", "watch 5"]);
});

// Guards against a malformed response ending the process. The platform would
// restart it on every host, only for it to receive the same response.
test("a malformed response is a lost dependency and does not stop the follower", async () => {
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

// Guards against a busy loop in a daemon that loses its network. The store fails,
// then the last peer is lost, which restarts the watch while there is none. Every
// later failure was then taken for a restart and retried without a backoff: 3,000
// calls a second, which used the whole processor and delayed all other work.
test("restarting the watch between two failures keeps the backoff", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const failures = Array.from(
    { length: 9 },
    () => new FeedError("unavailable", "down"),
  );
  const feed = new ScriptedFeed(failures, () => {});
  const follower = new FeedFollower(feed, { listed() {}, changed() {} }, {
    connectivity: {
      lost: () => follower.restartWatch(),
      regained() {},
      confirmed() {},
      unneeded() {},
    },
    timing: ALWAYS_READ,
  });
  void follower.run();
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(feed.calls, ["stale list"], "no time has passed");
  mock.timers.tick(100);
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(feed.calls, ["stale list", "list"]);
});

// Guards against one call per change. When eleven runners start within a second,
// a watcher without a delay makes eleven calls, and so does every other watcher.
test("changes in rapid succession are read together", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const feed = new ScriptedFeed([
    { revision: 3, values: [] },
    { revision: 4, updated: ["a"], removed: [] },
    { revision: 9, updated: ["b", "c"], removed: [] },
  ], () => {});
  const seen: string[] = [];
  const follower = new FeedFollower(feed, {
    listed() {},
    changed: ({ updated }) => seen.push(...updated),
  }, {
    connectivity: IGNORED,
    timing: ALWAYS_READ,
  });
  void follower.run();
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(seen, ["a"], "delivered at once");
  assert.deepEqual(feed.calls, ["stale list", "watch 3"]);
  mock.timers.tick(100);
  for (let turn = 0; turn < 10; turn++) await new Promise(setImmediate);
  assert.deepEqual(seen, ["a", "b", "c"]);
});

// Guards against a stale list that replaces newer content of the same revision.
test("the sink is told which lists are stale", async () => {
  const stale: boolean[] = [];
  await new Promise<void>((resolve) => {
    const feed = new ScriptedFeed([
      { revision: 3, values: [] },
      new FeedError("expired", "gone"),
      { revision: 3, values: [] },
    ], resolve);
    const follower = new FeedFollower(feed, {
      listed: (_, options) => {
        stale.push(options.stale);
      },
      changed() {},
    }, {
      connectivity: IGNORED,
      timing: ALWAYS_READ,
    });
    void follower.run();
  });
  assert.deepEqual(stale, [true, false]);
});

/** Follows a script into a sink that ignores lists up to a revision. */
async function followFrom(
  known: number,
  responses: (Listing<string> | Changes<string>)[],
): Promise<readonly string[]> {
  let feed: ScriptedFeed | undefined;
  await new Promise<void>((resolve) => {
    feed = new ScriptedFeed(responses, resolve);
    const follower = new FeedFollower(feed, {
      listed: ({ revision }) => revision > known ? undefined : false,
      changed() {},
    }, {
      connectivity: IGNORED,
      timing: ALWAYS_READ,
    });
    void follower.run();
  });
  return feed!.calls;
}

// Guards against changes that are applied to the wrong list. A starting daemon has a
// peer's list from before a restore; the stale list from after it is ignored, as it
// may be from before, too, but the changes since are not.
test("an ignored stale list of a later epoch is followed by a current one", async () => {
  const restored = storeRevision(1, 60);
  const calls = await followFrom(70, [
    { revision: restored, values: [] },
    { revision: restored, values: [] },
  ]);
  assert.deepEqual(calls, ["stale list", "list", `watch ${restored}`]);
});

// Guards against calls without need: peers often have newer lists than a stale one, and
// changes since an earlier revision include those since theirs.
test("an ignored stale list of the first epoch is watched from", async () => {
  const calls = await followFrom(70, [{ revision: 60, values: [] }]);
  assert.deepEqual(calls, ["stale list", "watch 60"]);
});

// Guards against thousands of calls a second to a store that keeps no history.
test("history that expires each time is not listed without pauses", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  let lists = 0;
  const feed: Feed<string> = {
    list() {
      lists += 1;
      return Promise.resolve({ revision: 3, values: [] });
    },
    watch: () => Promise.reject(new FeedError("expired", "gone")),
  };
  const follower = new FeedFollower(feed, { listed() {}, changed() {} }, {
    connectivity: IGNORED,
    timing: ALWAYS_READ,
  });
  void follower.run();
  for (let turn = 0; turn < 100; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  follower.stop();
  assert.equal(lists, 2);
});
