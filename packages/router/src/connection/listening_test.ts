import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import type { EventLog } from "../process/event_log.ts";
import type { Fields } from "../process/log_line.ts";
import { Listening } from "./listening.ts";

const LOCALHOST = "127.0.0.1";

// Guards against a process that ends when its descriptors run out for a moment.
test("a server that cannot accept connections for a while is logged and goes on", async (t) => {
  const lines: Fields[] = [];
  const log: EventLog = {
    ...SILENT_LOG,
    event: (event, fields) => void lines.push({ event, ...fields }),
  };
  const server = createServer((socket) => socket.end("served"));
  const listening = new Listening(server, { name: "callers", log });
  t.after(() => listening.close());
  await listening.open({ host: LOCALHOST, port: 0 });
  for (const code of ["EMFILE", "ENFILE", "EPROTO"]) {
    server.emit("error", Object.assign(new Error(`accept ${code}`), { code }));
  }
  assert.deepEqual(lines, [
    { event: "accept_failed", server: "callers", reason: "accept EMFILE" },
  ]);
  const socket = connect(listening.port, LOCALHOST);
  const [data] = await once(socket, "data");
  assert.equal(String(data), "served");
});
