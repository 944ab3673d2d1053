import assert from "node:assert/strict";
import { Agent, get } from "node:http";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { CallerServer } from "./caller_server.ts";

const LOCALHOST = "127.0.0.1";

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
  }, { maxConnections: 10, accepts: () => accepts, log: SILENT_LOG });
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
