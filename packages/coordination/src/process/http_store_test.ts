import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import { HttpStore } from "./http_store.ts";
import type { HttpStoreOptions } from "./http_store.ts";
import type { Unavailable } from "./store.ts";

type Handler = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

async function startStore(
  t: TestContext,
  handler: Handler,
  options: Partial<HttpStoreOptions> = {},
): Promise<{ readonly store: HttpStore; readonly server: Server }> {
  const server = createServer((incoming, outgoing) => {
    incoming.resume();
    incoming.on("end", () => handler(incoming, outgoing));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const store = new HttpStore({ url: `http://127.0.0.1:${port}`, ...options });
  t.after(() => {
    store.close();
    server.closeAllConnections();
    server.close();
  });
  return { store, server };
}

function respond(outgoing: ServerResponse, status: number, body: unknown) {
  outgoing.writeHead(status, { "content-type": "application/json" });
  outgoing.end(JSON.stringify(body));
}

function write(store: HttpStore) {
  return Effect.runPromise(Effect.flip(
    store.write({ kind: "k", name: "n", value: 1 }, { ifVersion: 3 }),
  ));
}

test("a conditional write sends its version and returns the new one", async (t) => {
  const seen: (string | string[] | undefined)[] = [];
  const { store } = await startStore(t, (incoming, outgoing) => {
    seen.push(incoming.url, incoming.headers["if-version"]);
    respond(outgoing, 200, { version: 9 });
  });
  const version = await Effect.runPromise(
    store.write({ kind: "k", name: "a/b", value: {} }, { ifVersion: 3 }),
  );
  assert.equal(version, 9);
  assert.deepEqual(seen, ["/objects/k/a%2Fb", "3"]);
});

test("an absent object reads as undefined", async (t) => {
  const { store } = await startStore(
    t,
    (_, outgoing) => respond(outgoing, 404, {}),
  );
  assert.equal(await Effect.runPromise(store.read("k", "n")), undefined);
});

test("a conflict reports the version in the store", async (t) => {
  const { store } = await startStore(
    t,
    (_, outgoing) => respond(outgoing, 409, { version: 5 }),
  );
  assert.deepEqual(await write(store), { _tag: "Conflict", version: 5 });
  assert.equal(store.counters.conflicts, 1);
});

test("a write to a store that does not listen cannot have taken effect", async (t) => {
  const { store, server } = await startStore(t, () => {});
  await new Promise((done) => server.close(done));
  const failure = await write(store) as Unavailable;
  assert.equal(failure._tag, "Unavailable");
  assert.equal(failure.mayHaveWritten, false);
});

test("a write whose connection breaks before the reply may have taken effect", async (t) => {
  // The store applies a write, and its connection breaks before the response
  // arrives. If the writer treated this as a failed write, it would tell its
  // caller that nothing was written.
  const { store } = await startStore(
    t,
    (incoming) => incoming.socket.destroy(),
  );
  const failure = await write(store) as Unavailable;
  assert.equal(failure.mayHaveWritten, true);
});

test("a refusal by the store has not written, and an intermediary's error may have", async (t) => {
  let status = 429;
  const { store } = await startStore(
    t,
    (_, outgoing) => respond(outgoing, status, {}),
  );
  const outcomes: boolean[] = [];
  for (status of [413, 429, 503, 502, 500]) {
    outcomes.push((await write(store) as Unavailable).mayHaveWritten);
  }
  assert.deepEqual(outcomes, [false, false, false, true, true]);
});

test("no call is made before the retry-after time of the store", async (t) => {
  // The store refuses calls because its rate limit is exceeded. Callers that
  // retry immediately would keep it above the limit, so calls fail locally
  // until the retry-after time.
  let now = 0;
  let calls = 0;
  const clock = { now: () => now, monotonic: () => now };
  const { store } = await startStore(t, (_, outgoing) => {
    calls += 1;
    outgoing.setHeader("retry-after", "2");
    respond(outgoing, 429, {});
  }, { clock });
  assert.equal((await write(store) as Unavailable).retryAfterMs, 2_000);
  assert.equal((await write(store) as Unavailable).retryAfterMs, 2_000);
  assert.equal(calls, 1);
  assert.equal(store.counters.held, 1);
  now = 2_000;
  await write(store);
  assert.equal(calls, 2);
});

test("an unresponsive connection is closed and a new one is used", async (t) => {
  // An intermediary loses the state of an open connection, and requests on it
  // get no response. Only the time-out ends such a call, and the connection
  // must not be used again.
  const silent = new Set<unknown>();
  const { store } = await startStore(t, (incoming, outgoing) => {
    if (silent.size === 0) silent.add(incoming.socket);
    if (silent.has(incoming.socket)) return;
    respond(outgoing, 200, { kind: "k", name: "n", version: 1, value: "new" });
  }, { timeoutMs: 200 });
  const failure = await Effect.runPromise(Effect.flip(store.read("k", "n")));
  assert.equal(failure.mayHaveWritten, false);
  const found = await Effect.runPromise(store.read("k", "n"));
  assert.equal(found?.value, "new");
});

test("calls beyond the concurrency limit are queued", async (t) => {
  let inFlight = 0;
  let maxInFlight = 0;
  const pending: ServerResponse[] = [];
  const { store } = await startStore(t, (_, outgoing) => {
    inFlight += 1;
    maxInFlight = Math.max(maxInFlight, inFlight);
    pending.push(outgoing);
    if (pending.length === 2) {
      for (const response of pending.splice(0)) {
        inFlight -= 1;
        respond(response, 404, {});
      }
    }
  }, { maxConcurrent: 2, timeoutMs: 60_000 });
  const reads = Array.from({ length: 6 }, () => store.read("k", "n"));
  await Effect.runPromise(Effect.all(reads, { concurrency: "unbounded" }));
  assert.equal(maxInFlight, 2);
});

test("a list includes the kind of each object, and a watch its next revision", async (t) => {
  const item = { name: "n", version: 4, value: 1 };
  const event = { type: "put", ...item };
  const urls: (string | undefined)[] = [];
  const { store } = await startStore(t, (incoming, outgoing) => {
    urls.push(incoming.url);
    const events = incoming.url?.startsWith("/watch");
    respond(
      outgoing,
      200,
      events
        ? { revision: 5, events: [event] }
        : { revision: 4, items: [item] },
    );
  });
  assert.deepEqual(await Effect.runPromise(store.list("k")), {
    revision: 4,
    items: [{ ...item, kind: "k" }],
  });
  const seen = await Effect.runPromise(
    store.watch("k", { from: 3, waitMs: 50 }),
  );
  assert.deepEqual(seen, { revision: 5, events: [event] });
  assert.deepEqual(urls, ["/objects/k", "/watch/k?from=3&wait=50"]);
});

test("an interrupted call closes its connection", async (t) => {
  const closed = Deferred.makeUnsafe<void>();
  const received = Deferred.makeUnsafe<void>();
  const { store } = await startStore(t, (incoming) => {
    incoming.socket.once(
      "close",
      () => Deferred.doneUnsafe(closed, Effect.void),
    );
    Deferred.doneUnsafe(received, Effect.void);
  }, { timeoutMs: 60_000 });
  const fiber = Effect.runFork(store.read("k", "n"));
  await Effect.runPromise(Deferred.await(received));
  fiber.interruptUnsafe();
  await Effect.runPromise(Deferred.await(closed));
});
