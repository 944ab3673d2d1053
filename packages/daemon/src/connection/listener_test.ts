import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { addressOf, listen } from "./listener.ts";

const LOCALHOST = { address: "127.0.0.1", port: 0 };

test("connections that cannot be accepted do not end the process", async (t) => {
  const server = createServer();
  t.after(() => server.close());
  await Effect.runPromise(listen(server, LOCALHOST));
  server.emit("error", new Error("accept EMFILE"));
  server.emit("error", new Error("accept EMFILE"));
  assert.match(addressOf(server), /^127\.0\.0\.1:\d+$/);
});
