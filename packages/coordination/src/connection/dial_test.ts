import assert from "node:assert/strict";
import { once } from "node:events";
import { Server } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { dial, listen } from "./dial.ts";

const LOCALHOST = { address: "127.0.0.1", port: 0 };

test("connections that cannot be accepted do not end the process", async (t) => {
  const { mock } = t.mock.method(Server.prototype, "listen");
  let accepted = 0;
  const used = Effect.gen(function* () {
    const endpoint = yield* listen(LOCALHOST, (socket) => {
      accepted += 1;
      socket.end();
    });
    const server = mock.calls[0]!.this as Server;
    server.emit("error", new Error("accept EMFILE"));
    server.emit("error", new Error("accept EMFILE"));
    const socket = yield* dial(endpoint);
    yield* Effect.promise(() => once(socket.resume(), "close"));
  });
  await Effect.runPromise(Effect.scoped(used));
  assert.equal(accepted, 1);
});
