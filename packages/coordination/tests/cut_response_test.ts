import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import { HttpStore } from "../src/process/http_store.ts";
import type { Conflict, Unavailable } from "../src/process/store.ts";
import { CuttingServer, ENDINGS } from "../src/testing/mod.ts";
import type { Ending } from "../src/testing/mod.ts";

/** Long, so that a call that never ends fails its test. */
const TIMEOUT_MS = 3_600_000;

async function startServer(
  t: TestContext,
  response: string,
  ending: Ending,
): Promise<CuttingServer> {
  const server = await CuttingServer.start(response, ending);
  t.after(() => server.close());
  return server;
}

/** How a response states its end, if it does. */
const FRAMINGS = {
  "without a length": (body: string) => `\r\n${body}`,
  "with a length": (body: string) =>
    `content-length: ${body.length}\r\n\r\n${body}`,
  "in chunks": (body: string) =>
    `transfer-encoding: chunked\r\n\r\n` +
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
} as const;

function responses(body: unknown): readonly (readonly [string, string])[] {
  const json = JSON.stringify(body);
  return Object.entries(FRAMINGS).map(([framing, frame]) =>
    [framing, `HTTP/1.1 200 OK\r\n${frame(json)}`] as const
  );
}

const OBJECT = { kind: "k", name: "n", version: 12, value: { a: [1, 23] } };

/** A call of the store, and the body of the response to it. */
interface Call {
  readonly body: unknown;
  call(store: HttpStore): Effect.Effect<unknown, Conflict | Unavailable>;
}

const CALLS: Readonly<Record<string, Call>> = {
  read: {
    body: OBJECT,
    call: (store) => store.read("k", "n"),
  },
  list: {
    body: { revision: 12, items: [OBJECT] },
    call: (store) => store.list("k"),
  },
  watch: {
    body: { revision: 12, events: [{ type: "put", ...OBJECT }] },
    call: (store) => store.watch("k", { from: 1, waitMs: 1_000 }),
  },
  write: {
    body: { version: 12 },
    call: (store) =>
      store.write({ kind: "k", name: "n", value: 1 }, { ifVersion: 1 }),
  },
};

/** A case of each call and framing: its name, its response, and the call. */
const CASES = Object.entries(CALLS).flatMap(([name, { body, call }]) =>
  responses(body).map(([framing, text]) =>
    [`${name} ${framing}`, text, call] as const
  )
);

// Guards against a part of a response of the store that is taken for all of it, and
// against a call that does not end with its response.
for (const [name, text, call] of CASES) {
  for (const ending of ENDINGS) {
    test(`a ${name} that is cut at any byte by ${ending} fails`, async (t) => {
      const server = await startServer(t, text, ending);
      const store = new HttpStore({ url: server.url, timeoutMs: TIMEOUT_MS });
      t.after(() => store.close());
      for (let bytes = 0; bytes < text.length; bytes++) {
        server.cutAt(bytes);
        const failure = await Effect.runPromise(Effect.flip(call(store)));
        assert.equal(failure._tag, "Unavailable", `cut after ${bytes} bytes`);
      }
    });
  }

  test(`a ${name} that is closed in order succeeds`, async (t) => {
    const { url } = await startServer(t, text, "close");
    const store = new HttpStore({ url, timeoutMs: TIMEOUT_MS });
    t.after(() => store.close());
    await Effect.runPromise(call(store));
  });
}
