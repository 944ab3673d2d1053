/**
 * Shared parts of the scripts of this review: the platform's store, the settings of a
 * small deployment, daemons as processes, and the record of a run.
 *
 * Everything listens on and connects to 127.0.0.1. Only processes that a script has
 * started are signalled, by their process objects.
 */
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const LOOPBACK = "127.0.0.1";
export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
/** False when the script is to run without its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";
/** Steady milliseconds since the start of the script. */
export const now = () => performance.now();
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Writes the record of a run, line by line, with the time in seconds. */
export class Record {
  #out;
  constructor(folder) {
    this.#out = createWriteStream(path.join(folder, "record.txt"));
  }
  line(text) {
    this.#out.write(`${(now() / 1000).toFixed(3).padStart(8)}  ${text}\n`);
  }
  close() {
    return new Promise((resolve) => this.#out.end(resolve));
  }
}

/** Returns the port of a server that listens. */
export const portOf = (server) => server.address().port;

/** Listens on a free port, or on the given one. */
export function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

/** Below the range from which systems take the ports of outgoing connections. */
const PORTS = { first: 12_000, count: 18_000 };

/** Returns ports that are free now. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = PORTS.first + Math.floor(Math.random() * PORTS.count);
    try {
      const server = await listen(net.createServer(), port);
      await new Promise((done) => server.close(done));
      if (!ports.includes(port)) ports.push(port);
    } catch {
      // Taken; another one is tried.
    }
  }
  return ports;
}

const PAGE_ENTRIES = 500;
const LONGEST_WAIT_MS = 30_000;
const ANSWER_MS = 4;

/** A value that the store holds as JSON text, whatever its depth. */
export class JsonText {
  constructor(text) {
    this.text = text;
  }
  toJSON() {
    return `@json:${this.text}`;
  }
}

/** Encodes a body; each {@link JsonText} in it stands there as it is. */
function encode(body) {
  const texts = [];
  const text = JSON.stringify(body, (_, value) => {
    if (typeof value !== "string" || !value.startsWith("@json:")) return value;
    texts.push(value.slice("@json:".length));
    return `@json:${texts.length - 1}`;
  });
  return text.replace(/"@json:(\d+)"/g, (_, index) => texts[Number(index)]);
}

/** The platform's store, as PROTOCOL.md describes it; it answers within 4 ms. */
export class Store {
  #kinds = new Map();
  #changes = [];
  #waiting = new Set();
  revision = 1;

  async start() {
    this.server = await listen(http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    }));
    this.address = `${LOOPBACK}:${portOf(this.server)}`;
    return this;
  }

  objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  get(kind, name) {
    return this.objects(kind).get(name);
  }

  put(kind, name, spec) {
    const before = this.get(kind, name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) {
      return before;
    }
    const metadata = {
      name,
      revision: ++this.revision,
      created_at: before?.metadata.created_at ?? Date.now(),
      finalizers: [],
      deletion_pending: false,
    };
    const object = { metadata, spec, status: {} };
    this.objects(kind).set(name, object);
    this.#tell({ kind, object, deleted: false });
    return object;
  }

  remove(kind, name) {
    const object = this.get(kind, name);
    if (!object) return;
    this.objects(kind).delete(name);
    const metadata = { ...object.metadata, revision: ++this.revision };
    this.#tell({ kind, object: { ...object, metadata }, deleted: true });
  }

  /** Lets no call be answered, or answers calls again. */
  silent(on) {
    this.isSilent = on;
    if (on) for (const wake of this.#waiting) wake();
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  #tell(change) {
    this.#changes.push(change);
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
  }

  async #serve(request, response) {
    const body = await readAll(request);
    if (this.isSilent) return;
    const reply = request.method === "GET"
      ? await this.#read(request)
      : this.#write(request, body);
    await pause(ANSWER_MS);
    if (this.isSilent) return;
    const text = encode(reply.body ?? {});
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(text);
  }

  async #read(request) {
    const url = new URL(request.url, "http://store");
    const [, kind, name] =
      /^\/-\/objects\/([^/]+)(?:\/([^/]+))?$/.exec(url.pathname) ?? [];
    if (kind === undefined) return { status: 404 };
    if (name !== undefined) {
      const object = this.get(kind, decodeURIComponent(name));
      return object ? { status: 200, body: object } : { status: 404 };
    }
    if (url.searchParams.has("watch")) return await this.#watch(kind, url);
    const after = url.searchParams.get("after") ?? "";
    const all = [...this.objects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
    const entries = all.slice(0, PAGE_ENTRIES);
    const has_more = all.length > entries.length;
    return { status: 200, body: { entries, has_more, at: this.revision } };
  }

  async #watch(kind, url) {
    const since = Number(url.searchParams.get("watch"));
    const wait = Number(url.searchParams.get("wait_ms") ?? 0);
    const until = now() + Math.min(LONGEST_WAIT_MS, wait);
    for (;;) {
      const events = this.#changes
        .filter((c) => c.kind === kind && c.object.metadata.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      const left = until - now();
      if (events.length > 0 || left <= 0) {
        return { status: 200, body: { events, at: this.revision } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        this.#waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  #write(request, text) {
    const url = new URL(request.url, "http://store");
    const [, kind, named] =
      /^\/-\/objects\/([^/]+)(?:\/([^/]+))?$/.exec(url.pathname) ?? [];
    if (kind === undefined) return { status: 404 };
    const sent = text.length > 0 ? JSON.parse(text) : {};
    const name = named ? decodeURIComponent(named) : sent.metadata.name;
    const found = this.get(kind, name);
    const expected = sent.metadata?.revision ??
      (url.searchParams.has("revision")
        ? Number(url.searchParams.get("revision"))
        : undefined);
    const conflict = { status: 409, body: found };
    if (request.method === "POST" && found) return conflict;
    if (request.method !== "POST" && !found) return { status: 404 };
    const other = found && expected !== undefined &&
      expected !== found.metadata.revision;
    if (other) return conflict;
    if (request.method === "DELETE") {
      this.remove(kind, name);
      return { status: 200 };
    }
    return { status: 200, body: this.put(kind, name, sent.spec) };
  }
}

export async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** Fills in a template as DEPLOY.md describes it. */
export function fillTemplate(text, fields) {
  return render(text, [fields], { last: true });
}

function lookUp(name, scopes) {
  for (const scope of scopes) {
    let value = scope;
    for (const part of name.split(".")) {
      value = value === null || typeof value !== "object"
        ? undefined
        : value[part];
    }
    if (value !== undefined) return value;
  }
  return undefined;
}

function render(text, scopes, loop) {
  const opened = /\{\{([#^])([^{}]+)\}\}/.exec(text);
  if (opened) {
    const [tag, kind, name] = opened;
    const from = opened.index + tag.length;
    const to = endOf(text, name, from);
    const inner = text.slice(from, to);
    const value = lookUp(name, scopes);
    const before = render(text.slice(0, opened.index), scopes, loop);
    const after = text.slice(to + `{{/${name}}}`.length);
    return before + section(kind, value, inner, scopes) +
      render(after, scopes, loop);
  }
  return text.replace(/\{\{([^{}]+)\}\}/g, (_, expression) => {
    if (expression === ",") return loop.last ? "" : ",";
    const [name, form] = expression.split("|");
    if (name === "@") return String(loop.key);
    const value = name === "." ? scopes[0] : lookUp(name, scopes);
    if (form === "json") return JSON.stringify(value ?? null);
    if (value === undefined || value === null) return "";
    if (Array.isArray(value)) return value.join(",");
    return typeof value === "object" ? JSON.stringify(value) : String(value);
  });
}

function endOf(text, name, from) {
  const end = text.indexOf(`{{/${name}}}`, from);
  if (end < 0) throw new Error(`The section ${name} has no end`);
  return end;
}

function section(kind, value, inner, scopes) {
  const absent = value === undefined || value === null || value === false;
  if (kind === "^") return absent ? render(inner, scopes, { last: true }) : "";
  if (absent) return "";
  if (typeof value !== "object") return render(inner, scopes, { last: true });
  const entries = Object.entries(value);
  return entries.map(([key, entry], index) =>
    render(inner, [entry, ...scopes], {
      key,
      last: index === entries.length - 1,
    })
  ).join("");
}

/** The bounds of the sheet of Blue Mahoe in SYSTEM.md. */
export const BOUNDS = {
  seed_staleness_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  sync_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  propagation_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  strict_revocation: false,
  revocation_ms: 5000,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_extra: 54,
  recovery_s: 12,
  event_delay_ms: 120,
  reuse_window_s: 10,
};

export const GUARANTEES = [
  "base",
  "drain",
  "config",
  "cost",
  "retry",
  "recover",
  "engine",
  "stream",
  "tenants",
  "platform",
];

export const ZONES = ["halfway-tree", "spanish-town", "portmore"];
/** The limits of a machine on that sheet. */
export const MACHINE = {
  cpu_quota: 0.675,
  cpu_cores: 1,
  memory_mb: 350,
  max_fds: 4100,
  link_mbps: 1000,
  disk_mb: 0,
};

function deployFile() {
  const text = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const value = (key) => new RegExp(`^${key} = "(.*)"$`, "m").exec(text)?.[1];
  return { run: value("run").split(" "), template: value("template") };
}

/** A deployment of some daemons beside one store. */
export class Deployment {
  daemons = [];

  /** @param options.extra further fields of the settings, such as `cloud_api`. */
  constructor({ store, record, extra = {}, bounds = BOUNDS }) {
    this.store = store;
    this.record = record;
    this.extra = extra;
    this.bounds = bounds;
    this.folder = mkdtempSync(path.join(os.tmpdir(), "umbermast-review-"));
    this.deploy = deployFile();
  }

  /** Assigns names and ports to `count` daemons; starts none. */
  async plan(count) {
    for (let index = 0; index < count; index++) {
      const zone = ZONES[index % ZONES.length];
      const [ingress, readiness, control, first, second] = await freePorts(5);
      this.daemons.push(
        new Daemon(this, {
          name: `edge-${zone}-${1 + Math.floor(index / ZONES.length)}`,
          zone,
          ports: { ingress, readiness, control, range: [first, second] },
        }),
      );
    }
    return this.daemons;
  }

  settingsOf({ name, zone, ports }) {
    const fields = {
      node_name: name,
      role: "router",
      machine_class: "edge",
      serves: ["edge", "control"],
      ip: LOOPBACK,
      zone,
      region: "kgn",
      zones: Object.fromEntries(ZONES.map((each) => [each, "kgn"])),
      listen: {
        ingress: `${LOOPBACK}:${ports.ingress}`,
        readiness: `${LOOPBACK}:${ports.readiness}`,
        control_plane: `${LOOPBACK}:${ports.control}`,
      },
      port_range: ports.range,
      seed_nodes: this.daemons.slice(0, 3)
        .map((each) => `${LOOPBACK}:${each.ports.control}`),
      bootstrap: true,
      loss_counts: false,
      limits: MACHINE,
      data_path: null,
      discovery: "platform",
      entrypoint: "vip",
      heartbeat_ms: 1200,
      guarantees: GUARANTEES,
      fault_tolerance: { nodes: 2, zones: 0, regions: 0 },
      bounds: this.bounds,
      platform: {
        address: this.store.address,
        form: "objects",
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        min_ttl_ms: 1000,
      },
      ...this.extra,
    };
    const template = readFileSync(
      path.join(ROOT, this.deploy.template),
      "utf8",
    );
    return fillTemplate(template, fields);
  }

  /** Ends all processes, and removes the folder. */
  async close() {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

const RESTART_MS = 500;

/** One daemon; the platform starts it again when its process ends. */
export class Daemon {
  child;
  /** Steady ms at which the platform or the script started or signalled it. */
  disturbedAt = [];
  /** Ends that nothing outside the process caused. */
  ownEnds = [];
  /** @type {string[]} the last lines that the process wrote. */
  lines = [];
  #wanted = false;
  #expected = false;

  constructor(deployment, { name, zone, ports }) {
    this.deployment = deployment;
    this.name = name;
    this.zone = zone;
    this.ports = ports;
    this.file = path.join(deployment.folder, `${name}.json`);
  }

  /** Starts the process with the settings in effect now. */
  start() {
    const { record, deploy } = this.deployment;
    this.#wanted = true;
    this.#expected = false;
    const text = this.deployment.settingsOf(this);
    writeFileSync(`${this.file}.new`, text);
    renameSync(`${this.file}.new`, this.file);
    const [program, ...words] = deploy.run;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, UMBERMAST_NODE_FILE: this.file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    this.disturbedAt.push(now());
    record.line(`${this.name} started, process ${child.pid}`);
    const keep = (chunk) => {
      this.lines.push(...String(chunk).split("\n").filter(Boolean));
      if (this.lines.length > 4000) this.lines.splice(0, 2000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.once("exit", (code, signal) => {
      const own = !this.#expected;
      record.line(
        `${this.name} ended, ${signal ?? `code ${code}`}${
          own ? ", by itself" : ""
        }`,
      );
      if (own) this.ownEnds.push({ at: now(), code, signal });
      if (this.child === child) this.child = undefined;
      if (this.#wanted) setTimeout(() => this.#wanted && this.start(), RESTART_MS);
    });
  }

  get running() {
    return this.child !== undefined;
  }

  get pid() {
    return this.child?.pid;
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.deployment.record.line(`${this.name} gets ${name}`);
    this.disturbedAt.push(now());
    if (name === "SIGKILL") this.#expected = true;
    this.child?.kill(name);
  }

  /** SIGTERM, and SIGKILL after the grace; it is not started again. */
  async terminate() {
    const { child } = this;
    if (!child) return;
    this.#wanted = false;
    this.#expected = true;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    this.signal("SIGTERM");
    const timer = setTimeout(
      () => child.kill("SIGKILL"),
      this.deployment.bounds.grace_s * 1000,
    );
    await ended;
    clearTimeout(timer);
  }

  /** Ends the process for good. */
  async kill() {
    this.#wanted = false;
    const { child } = this;
    if (!child) return;
    this.#expected = true;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  /** Whether nothing has disturbed it for `contact_ms` before a moment. */
  inTouch(at) {
    const { contact_ms } = this.deployment.bounds;
    return this.running &&
      !this.disturbedAt.some((each) => each > at - contact_ms && each <= at);
  }

  /** Whether it answers that it is ready. */
  ready() {
    return new Promise((resolve) => {
      const asked = http.get({
        host: LOOPBACK,
        port: this.ports.readiness,
        path: "/-/readyz",
        timeout: 1000,
        agent: false,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      asked.on("timeout", () => asked.destroy(new Error("No answer")));
      asked.on("error", () => resolve(false));
    });
  }

  async untilReady(limitMs = 15_000) {
    const end = now() + limitMs;
    while (now() < end) {
      if (await this.ready()) return;
      await pause(100);
    }
    throw new Error(`${this.name} is not ready`);
  }
}

let idCount = 0;
/** A new id of a client attempt. */
export function attemptId() {
  idCount += 1;
  const random = Math.floor(Math.random() * 0xffffffff).toString(16);
  return random.padStart(8, "0") + idCount.toString(16).padStart(8, "0");
}

/** An entry of a runner in the store. */
export function runnerEntry({ service, port, zone, capacity }) {
  return {
    backend: service,
    address: `${LOOPBACK}:${port}`,
    zone,
    version: "v1",
    capacity,
    state: "ready",
    warmup_left_ms: 0,
    sequence: 1,
    born: Date.now(),
  };
}

export const HOST = "ficu95.example";
export const KEY = "yhks8nbkxxmibw6kpqk8";
export const TENANT = "hule930";
export const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

/** A configuration with the given routes and services, and one tenant. */
export function configuration({ version = 1, routes, services }) {
  return {
    version,
    http_routes: routes,
    services,
    limits: LIMITS,
    tenants: [{ name: TENANT, api_keys: [KEY] }],
  };
}

/**
 * Runs a case, and ends the script with its exit code.
 *
 * @param run gets the record and a list to which it adds what has to be closed;
 * returns whether the rule was broken.
 */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const closing = [];
  let code = NOT_RUN;
  const limit = setTimeout(() => {
    record.line("The script takes too long");
    void end(NOT_RUN);
  }, 118_000);
  const end = async (status) => {
    clearTimeout(limit);
    for (const close of closing.reverse()) {
      await Promise.race([
        Promise.resolve().then(close).catch(() => {}),
        pause(3000),
      ]);
    }
    record.line(`exit ${status}`);
    await record.close();
    process.exit(status);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => void end(NOT_RUN));
  }
  record.line(`disruption: ${TROUBLE ? "yes" : "no (TROUBLE=0)"}`);
  try {
    code = await run({ record, closing }) ? BROKEN : HELD;
  } catch (error) {
    record.line(`could not run: ${error.stack ?? error}`);
  }
  await end(code);
}
