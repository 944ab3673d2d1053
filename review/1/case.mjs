// Streams of sound runners that fall silent for a moment, around a SIGHUP.
import { join, dirname } from "node:path";
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
const STREAMS = 60;
/** Each third stream is preempted in its middle. */
const PREEMPTED_OF = 3;
const EVENTS = 10;
const GAP_MS = 30;
/** Below the two seconds after which clients abandon a stream. */
const SILENCE_MS = 1_750;

const CONFIG = {
  version: 7,
  http_routes: [{
    name: "r-quote",
    hostname: HOST,
    path_prefix: "/pufi791/",
    type: "streaming",
    timeout_ms: 5000,
    slo_ms: 500,
    priority_class: 1,
    backend: "huvo11a",
    max_attempts: 2,
    anonymous: false,
    session_affinity: true,
    resumable: true,
    itl_target_ms: 300,
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
  const preempted = new Set();
  const runners = [];
  for (let i = 0; i < 4; i++) {
    const runner = await Runner.start({
      id: `i-${newId().slice(0, 8)}`,
      service: "huvo11a",
      capacity: 64,
      record,
      async answer({ id, last, response }) {
        response.setHeader("Content-Type", "text/event-stream");
        for (let number = last + 1; number <= EVENTS; number++) {
          // Preempted once, in its first run, and read in again.
          const silent = number === 4 && last === 0 && preempted.has(id);
          if (silent) record("preempted", { id });
          await sleep(silent ? SILENCE_MS : GAP_MS);
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
  // All machines are in touch.
  await sleep(BOUNDS.contact_ms + 1_000);
  const [daemon] = daemons;
  record("SIGHUP", { to: daemon.name });
  daemon.signal("SIGHUP");
  const hupAt = performance.now();
  const answers = [];
  for (let i = 0; i < STREAMS; i++) {
    const id = newId();
    if (TROUBLE && i % PREEMPTED_OF === 0) preempted.add(id);
    record("sent", { id, to: daemon.name, preempted: preempted.has(id) });
    answers.push(send({
      port: daemon.ingress,
      host: HOST,
      path: "/pufi791/2f",
      id,
      deadlineMs: 5000,
      key: KEY,
      body: `a prompt of ${id}`,
      headers: {
        "Umbermast-Model": "m",
        "Umbermast-Token-Usage": "1460,80",
        "Umbermast-Prefix-Hash": `5c1e07a2:800,${id.slice(0, 8)}:410`,
      },
    }));
    await sleep(25);
  }
  const lastSentMs = performance.now() - hupAt;
  record("all sent", { after_hup_ms: Math.round(lastSentMs) });
  const results = await Promise.all(answers);
  const breaches = [];
  const counts = {};
  for (const { id, status, text, whole, reason, ms } of results) {
    const events = text.split("\n\n").length - 1;
    record("answered", { id, status, events, whole, reason, ms });
    const complete = whole && events === EVENTS;
    const kind = complete && status === 200 ? "whole" : whole ? status : "cut";
    counts[kind] = (counts[kind] ?? 0) + 1;
    // Only a connection that ends without a complete answer breaks the rule; the
    // runners break off nothing, and the deadline was not reached.
    if (!whole && reason !== "deadline") {
      breaches.push(`${id} was cut after ${events} events and ${ms} ms`);
    }
  }
  record("counts", counts);
  console.log(counts);
  return breaches;
});
