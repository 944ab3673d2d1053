// Streams whose runner crashes, while the other runners fail part of their requests.
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
const RUNNERS = 5;
/** Streams at each daemon. */
const STREAMS = 60;
const EVENTS = 10;
const GAP_MS = 250;
/** When the runner crashes, after the last stream was sent. */
const CRASH_MS = 1_600;
/** Part of the requests that the other runners fail. */
const FAILED = 0.45;
const TIMEOUT_MS = 3_000;
const DEADLINE_MS = 5_000;
/** Four times the objective, eight times the pause or two seconds: the longest. */
const PATIENCE_MS = 2_400;
const SLACK_MS = 500;
const LEAST = 8;

const CONFIG = {
  version: 7,
  http_routes: [{
    name: "r-quote",
    hostname: HOST,
    path_prefix: "/pufi791/",
    type: "streaming",
    timeout_ms: TIMEOUT_MS,
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
  let grey = false;
  let failed = 0;
  const runners = [];
  for (let i = 0; i < RUNNERS; i++) {
    const runner = await Runner.start({
      id: `i-${newId().slice(0, 8)}`,
      service: "huvo11a",
      capacity: 64,
      record,
      async answer({ id, last, response, runner }) {
        await sleep(20);
        // Evenly, so that each run fails the same part.
        if (grey) failed += FAILED;
        if (grey && failed >= 1) {
          failed -= 1;
          record("failed", { id, runner: runner.id, last });
          response.statusCode = 500;
          return void response.end("failed");
        }
        response.setHeader("Content-Type", "text/event-stream");
        for (let number = last + 1; number <= EVENTS; number++) {
          if (response.destroyed) return;
          response.write(`id: ${number}\ndata: ${id}/${number}\n\n`);
          await sleep(GAP_MS);
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
  const answers = [];
  for (let i = 0; i < STREAMS; i++) {
    for (const daemon of daemons) {
      const id = newId();
      record("sent", { id, to: daemon.name });
      answers.push(send({
        port: daemon.ingress,
        host: HOST,
        path: "/pufi791/2f",
        id,
        deadlineMs: DEADLINE_MS,
        gapMs: PATIENCE_MS,
        key: KEY,
        body: `a prompt of ${id}`,
        headers: {
          "Umbermast-Model": "m",
          "Umbermast-Token-Usage": "1460,80",
          "Umbermast-Prefix-Hash": `${id.slice(0, 8)}:800,${id.slice(8)}:410`,
        },
      }));
    }
    await sleep(12);
  }
  if (TROUBLE) {
    await sleep(CRASH_MS);
    grey = true;
    // The one with the most streams.
    const [struck] = [...runners].sort((a, b) => b.active - a.active);
    record("crash", { runner: struck.id, streams: struck.active });
    struck.close();
  }
  const results = await Promise.all(answers);
  const late = [];
  const unanswered = [];
  const counts = {};
  for (const { id, status, text, whole, reason, ms } of results) {
    const events = text.split("\n\n").length - 1;
    record("answered", { id, status, events, whole, reason, ms });
    const left = reason === "deadline" || reason === "gap";
    const kind = whole ? status : left ? "the client left" : "cut";
    counts[kind] = (counts[kind] ?? 0) + 1;
    if (ms > TIMEOUT_MS) late.push(id);
    if (ms > TIMEOUT_MS + SLACK_MS) {
      unanswered.push(`${id} stood open after ${events} events for ${ms} ms`);
    }
  }
  record("counts", { ...counts, past_timeout: late.length });
  console.log(counts, "past the timeout:", late.length);
  const broken = unanswered.length >= LEAST &&
    unanswered.length > late.length / 2;
  return broken ? unanswered : [];
});
