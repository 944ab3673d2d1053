// One answer of a faulty runner with one wrong byte, beside the work of sound runners.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { play, TROUBLE } from "../lib/case.mjs";
import { keptConnection, newId, send } from "../lib/client.mjs";
import { BOUNDS, Daemon, freePorts } from "../lib/daemon.mjs";
import { Runner, sleep } from "../lib/runner.mjs";
import { Store } from "../lib/store.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const HOST = "ficu95.example";
const KEY = "n2ctnfzs989anu6wsjnb";
const DAEMONS = 3;
/** One of them is spoiled: 0.05. */
const STREAMS = 20;
const EVENTS = 12;
const GAP_MS = 40;
/** Job cards, each on a kept connection of its own. */
const JOBS = 8;
const JOB_MS = 400;
/** Requests without an answer up to which the rule holds. */
const TOLERATED = 3;

const limits = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};
const CONFIG = {
  version: 7,
  http_routes: [{
    name: "r-reply",
    hostname: HOST,
    path_prefix: "/lohu930/",
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
  }, {
    name: "r-jobcard",
    hostname: HOST,
    path_prefix: "/puxa403/",
    type: "non_idempotent",
    timeout_ms: 800,
    slo_ms: 300,
    priority_class: 2,
    backend: "wuno96b",
    max_attempts: 1,
    anonymous: false,
    session_affinity: false,
    resumable: false,
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
  }, {
    name: "wuno96b",
    health_path: "/healthz",
    max_connections: 100,
    protocol: "h1",
    tls: false,
  }],
  limits,
  tenants: [{ name: "hule930", api_keys: [KEY], priority_class: 1 }],
};

await play(join(HERE, "record.txt"), async (test) => {
  const { record } = test;
  const store = await Store.start();
  test.atEnd(() => store.close());
  const spoiled = new Set();
  const ran = new Set();
  const runners = [];
  const start = async (options) => {
    const id = `i-${newId().slice(0, 8)}`;
    const runner = await Runner.start({ ...options, id, record });
    test.atEnd(() => runner.close());
    runners.push(runner);
  };
  const stream = async ({ id, last, request, response, runner }) => {
    await sleep(GAP_MS);
    if (spoiled.has(id)) {
      const text = `id: 1\ndata: ${id}/1\n\n`;
      const bytes = Buffer.from(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
          `Umbermast-Attempt-Id: ${id}\r\n` +
          `Umbermast-Response-Seal: ${runner.id}.${id}\r\n` +
          `Content-Length: ${text.length}\r\n\r\n${text}`,
      );
      // The 2 of the status becomes a 0.
      bytes[bytes.indexOf("200")] = "0".charCodeAt(0);
      record("spoiled answer", { id, runner: runner.id });
      return void request.socket.write(bytes);
    }
    response.setHeader("Content-Type", "text/event-stream");
    for (let number = last + 1; number <= EVENTS; number++) {
      if (response.destroyed) return;
      response.write(`id: ${number}\ndata: ${id}/${number}\n\n`);
      await sleep(GAP_MS);
    }
    response.end();
  };
  const job = async ({ id, response }) => {
    ran.add(id);
    await sleep(JOB_MS);
    if (!response.destroyed) response.end(JSON.stringify({ jobcard: id }));
  };
  for (let i = 0; i < 3; i++) {
    await start({ service: "huvo11a", capacity: 64, answer: stream });
    await start({ service: "wuno96b", capacity: 6, answer: job });
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
  const request = { port: daemon.ingress, host: HOST, key: KEY };
  const sendJob = (agent, id = newId()) => {
    record("sent", { id, what: "job card", to: daemon.name });
    const body = `a job card ${id}`;
    return send({
      ...request,
      path: "/puxa403/2f",
      id,
      deadlineMs: 1_500,
      body,
      agent,
    });
  };
  const sendStream = (id) => {
    record("sent", { id, what: "stream", to: daemon.name });
    return send({
      ...request,
      path: "/lohu930/2f",
      id,
      deadlineMs: 10_000,
      body: `a prompt of ${id}`,
      headers: {
        "Umbermast-Model": "m",
        "Umbermast-Token-Usage": "1460,300",
        "Umbermast-Prefix-Hash": `5c1e07a2:800,${id.slice(0, 8)}:410`,
      },
    });
  };
  // The connections are kept from an earlier request.
  const agents = Array.from({ length: JOBS }, keptConnection);
  const firstJobs = await Promise.all(agents.map((agent) => sendJob(agent)));
  if (firstJobs.some(({ status }) => status !== 200)) {
    throw new Error("a job card was not served before the trouble");
  }
  const jobs = agents.map((agent) => sendJob(agent));
  await sleep(JOB_MS / 2);
  const streams = Array.from({ length: STREAMS }, (_, index) => {
    const id = newId();
    if (TROUBLE && index === STREAMS - 1) spoiled.add(id);
    return sendStream(id);
  });
  const results = await Promise.all([...jobs, ...streams]);
  agents.forEach((agent) => agent.destroy());
  const unanswered = [];
  for (const [index, result] of results.entries()) {
    const { id, status, text, whole, reason, ms } = result;
    const what = index < JOBS ? "job card" : "stream";
    const events = what === "stream" ? text.split("\n\n").length - 1 : undefined;
    record("answered", { id, what, status, events, whole, reason, ms });
    const lost = what === "job card" && status === 0 && reason !== "deadline";
    if (lost && ran.has(id)) unanswered.push(id);
  }
  await sleep(500);
  record("the daemon", { name: daemon.name, runs: daemon.runs, ...daemon.ended });
  console.log("the daemon runs:", daemon.runs, daemon.ended);
  if (unanswered.length <= TOLERATED) return [];
  return unanswered.map((id) =>
    `job card ${id} was run by a sound runner; its kept connection was closed ` +
    "without an answer"
  );
});
