// A long stream without a length, on a daemon that is stopped.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { play, TROUBLE } from "../lib/case.mjs";
import { newId, send } from "../lib/client.mjs";
import { BOUNDS, Daemon, freePorts } from "../lib/daemon.mjs";
import { Runner, sleep } from "../lib/runner.mjs";
import { Store } from "../lib/store.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const HOST = "ficu95.example";
const KEY = "n2ctnfzs989anu6wsjnb";
const DAEMONS = 3;
const STREAMS = 40;
/** Each 20th answer has no length: 0.05. */
const UNFRAMED_OF = 20;
/** 9 s, of the 10 s that the route and the clients allow. */
const EVENTS = 60;
const GAP_MS = 150;

const CONFIG = {
  version: 7,
  http_routes: [{
    name: "r-reply",
    hostname: HOST,
    path_prefix: "/pufi791/",
    type: "streaming",
    timeout_ms: 10000,
    slo_ms: 300,
    priority_class: 0,
    backend: "huvo11a",
    max_attempts: 1,
    anonymous: false,
    session_affinity: true,
    resumable: false,
    itl_target_ms: 200,
  }],
  services: [{
    name: "huvo11a",
    health_path: "/healthz",
    max_connections: 360,
    protocol: "h1",
    tls: false,
    engine: {
      capacity: 64,
      kv_capacity: 629084,
      kv_token_bytes: 163840,
      link_mbps: 1100000.0,
      migrations: true,
      backups: true,
      stride: 5,
      most: 12,
      pin_ms: 4000.0,
      hold_ms: 2000.0,
      handle_ttl_s: 5.0,
      models: [{ name: "m" }],
    },
  }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: "hule930", api_keys: [KEY], priority_class: 1 }],
};

await play(join(HERE, "record.txt"), async (test) => {
  const { record } = test;
  const store = await Store.start();
  test.atEnd(() => store.close());
  const unframed = new Set();
  const runners = [];
  for (let i = 0; i < 3; i++) {
    const runner = await Runner.start({
      id: `i-${newId().slice(0, 8)}`,
      service: "huvo11a",
      capacity: 64,
      record,
      async answer({ id, last, response }) {
        // No length and no chunks: the answer ends with its connection.
        if (unframed.has(id)) {
          response.useChunkedEncodingByDefault = false;
          response.shouldKeepAlive = false;
        }
        response.setHeader("Content-Type", "text/event-stream");
        for (let number = last + 1; number <= EVENTS; number++) {
          await sleep(GAP_MS);
          if (response.destroyed) return;
          response.write(`id: ${number}\ndata: ${id}/${number}\n\n`);
        }
        response.end();
      },
    });
    test.atEnd(() => runner.close());
    runners.push(runner);
  }
  store.put("config", "main", CONFIG);
  for (const runner of runners) store.put("servers", runner.id, runner.entry());
  const ports = await Promise.all(
    Array.from({ length: DAEMONS }, () => freePorts(4)),
  );
  const seeds = ports.map(([, , control]) => `127.0.0.1:${control}`);
  const daemons = ports.map((own, index) =>
    new Daemon({
      name: `edge-${index + 1}`,
      zone: "zone-a",
      ports: own,
      seeds,
      store: store.address,
      bounds: BOUNDS,
      folder: test.folder,
    })
  );
  for (const daemon of daemons) {
    daemon.start();
    test.atEnd(() => daemon.kill());
  }
  for (const daemon of daemons) {
    if (!await daemon.ready()) throw new Error(`${daemon.name} is not ready`);
  }
  await sleep(BOUNDS.contact_ms + 1_000);
  const [daemon] = daemons;
  const answers = [];
  for (let i = 0; i < STREAMS; i++) {
    const id = newId();
    if (i % UNFRAMED_OF === 0) unframed.add(id);
    record("sent", { id, to: daemon.name, without_length: unframed.has(id) });
    answers.push(send({
      port: daemon.ingress,
      host: HOST,
      path: "/pufi791/2f",
      id,
      deadlineMs: 10_000,
      key: KEY,
      body: `a prompt of ${id}`,
      headers: {
        "Umbermast-Model": "m",
        "Umbermast-Token-Usage": "1460,300",
        "Umbermast-Prefix-Hash": `5c1e07a2:800,${id.slice(0, 8)}:410`,
      },
    }));
  }
  await sleep(300);
  if (TROUBLE) {
    record("SIGTERM", { to: daemon.name });
    daemon.signal("SIGTERM");
    setTimeout(() => {
      record("SIGKILL", { to: daemon.name, running: daemon.runs });
      daemon.signal("SIGKILL");
    }, BOUNDS.grace_s * 1_000).unref();
  }
  const results = await Promise.all(answers);
  const breaches = [];
  for (const { id, status, headers, text, whole, reason, ms } of results) {
    const events = text.split("\n\n").length - 1;
    record("answered", {
      id,
      status,
      seal: headers["umbermast-response-seal"],
      length: headers["content-length"] ?? headers["transfer-encoding"] ?? "none",
      connection: headers.connection,
      events,
      looks_complete: whole,
      reason,
      ms,
    });
    if (status === 200 && whole && events < EVENTS) {
      breaches.push(
        `${id}: a success with a seal that looks complete with ${events} of ` +
          `${EVENTS} events, after ${ms} ms`,
      );
    }
  }
  const begun = results.filter(({ id, status }) =>
    unframed.has(id) && status === 200
  );
  if (begun.length === 0) throw new Error("no stream without a length began");
  return breaches;
});
