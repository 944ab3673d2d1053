import assert from "node:assert/strict";
import { Agent, get } from "node:http";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { pause } from "../process/pause.ts";
import { CallerServer } from "./caller_server.ts";

const LOCALHOST = "127.0.0.1";
const LIMITS = { connections: 10, heldBytes: 1_000_000 };

/** Sends a request; returns the status, or undefined if the connection closes. */
function statusOf(port: number, agent: Agent): Promise<number | undefined> {
  return new Promise((resolve) => {
    const request = get({ host: LOCALHOST, port, agent }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
    });
    request.on("error", () => resolve(undefined));
  });
}

// Guards against requests that are read by a daemon which cannot respond in time.
test("new connections are closed unread while there are too many requests", async (t) => {
  let accepts = true;
  let handled = 0;
  const server = new CallerServer((_, response) => {
    handled += 1;
    response.end();
  }, { limits: LIMITS, accepts: () => accepts, log: SILENT_LOG });
  await server.open({ host: LOCALHOST, port: 0 });
  const [kept, other] = [new Agent({ keepAlive: true }), new Agent()];
  t.after(() => {
    kept.destroy();
    server.destroy();
  });
  assert.equal(await statusOf(server.port, kept), 200);
  accepts = false;
  assert.equal(await statusOf(server.port, other), undefined);
  assert.equal(handled, 1);
  assert.equal(await statusOf(server.port, kept), 200);
});

// Guards against an error in a listener, which ends the daemon: Node's timers throw on
// numbers that are not finite, and take one that is too long for 1 ms.
for (const ms of [Infinity, 1e300, 2 ** 31, NaN]) {
  test(`connections stay open with an idle time-out of ${ms} ms`, async (t) => {
    const server = new CallerServer((_, response) => response.end(), {
      limits: LIMITS,
      accepts: () => true,
      log: SILENT_LOG,
    });
    server.applyLimits({
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: ms,
      idleTimeoutMs: ms,
    });
    await server.open({ host: LOCALHOST, port: 0 });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const sockets = new Set<unknown>();
    agent.on("free", (socket: unknown) => sockets.add(socket));
    t.after(() => {
      agent.destroy();
      server.destroy();
    });
    for (let requests = 0; requests < 3; requests++) {
      assert.equal(await statusOf(server.port, agent), 200);
      await pause(20);
    }
    assert.equal(sockets.size, 1);
  });
}
