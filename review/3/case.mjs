// A plain service of which one runner sends additional bytes after some answers.
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
const CLIENTS = 8;
const REQUESTS = 100;
const WORK_MS = 20;
/** Part of the answers of one of the three runners after which bytes follow. */
const SHARE = 0.05;
const LATE_MS = 5;
/** Bytes that belong to no request. */
const BYTES = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const PROMISES = [408, 421, 429, 503];

const CONFIG = {
  version: 7,
  http_routes: [{
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
    name: "wuno96b",
    health_path: "/healthz",
    max_connections: 100,
    protocol: "h1",
    tls: false,
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
  const runs = new Map();
  const runners = [];
  for (let i = 0; i < 3; i++) {
    let answered = 0;
    const runner = await Runner.start({
      id: `i-${newId().slice(0, 8)}`,
      service: "wuno96b",
      capacity: 6,
      record,
      async answer({ id, request, response, runner }) {
        runs.set(id, (runs.get(id) ?? 0) + 1);
        await sleep(WORK_MS);
        if (response.destroyed) return;
        response.end(JSON.stringify({ jobcard: id }));
        answered += 1;
        const spoils = TROUBLE && i === 0 && answered % (1 / SHARE) === 0;
        if (!spoils) return;
        await sleep(LATE_MS);
        record("additional bytes", { after: id, runner: runner.id });
        request.socket.write(BYTES);
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
  const results = [];
  const client = async (index) => {
    const agent = keptConnection();
    const daemon = daemons[index % DAEMONS];
    for (let i = 0; i < REQUESTS; i++) {
      const id = newId();
      record("sent", { id, to: daemon.name });
      const result = await send({
        port: daemon.ingress,
        host: HOST,
        path: "/puxa403/2f",
        id,
        deadlineMs: 1_500,
        key: KEY,
        agent,
        body: `a job card ${id}`,
      });
      record("answered", {
        id,
        status: result.status,
        seal: result.headers["umbermast-response-seal"],
        text: result.text,
      });
      results.push(result);
    }
    agent.destroy();
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, index) => client(index)));
  await sleep(1_000);
  const breaches = [];
  const counts = {};
  for (const { id, status, text } of results) {
    counts[status] = (counts[status] ?? 0) + 1;
    const ran = runs.get(id) ?? 0;
    if (PROMISES.includes(status) && ran > 0) {
      breaches.push(`${id} was answered ${status} and has run`);
    }
    if (ran > 1) breaches.push(`${id} has run ${ran} times`);
    if (status === 200 && text !== JSON.stringify({ jobcard: id })) {
      breaches.push(`${id} was answered ${text}`);
    }
  }
  record("counts", counts);
  console.log(counts);
  return breaches;
});
