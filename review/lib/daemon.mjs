// Starts the project's own program with the command and template of the deploy file.
import { spawn } from "node:child_process";
import { createServer } from "node:net";
import { get } from "node:http";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { fill } from "./template.mjs";

const TOP = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Returns the value of a key in deploy/system.toml, a plain string. */
function deployed(key) {
  const text = readFileSync(join(TOP, "deploy/system.toml"), "utf8");
  return new RegExp(`^${key} = "(.*)"$`, "m").exec(text)[1];
}

/** Ports that are free now. */
export async function freePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

export class Daemon {
  #child;
  #options;
  #file;
  constructor(options) {
    this.#options = options;
    this.name = options.name;
    this.#file = join(options.folder, `${options.name}.json`);
  }

  get ingress() {
    return this.#options.ports[0];
  }

  get runs() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Writes the settings file as the platform does. */
  writeSettings(changes = {}) {
    Object.assign(this.#options, changes);
    const { name, zone, ports, seeds, store, bounds } = this.#options;
    const [ingress, readiness, control, metrics] = ports;
    const at = (port) => `127.0.0.1:${port}`;
    const text = fill(readFileSync(join(TOP, deployed("template")), "utf8"), {
      node_name: name,
      role: "router",
      machine_class: "edge",
      ip: "127.0.0.1",
      zone,
      listen: {
        ingress: at(ingress),
        readiness: at(readiness),
        control_plane: at(control),
      },
      port_range: [metrics, metrics],
      seed_nodes: seeds,
      limits: {
        cpu_quota: 0.675,
        cpu_cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000.0,
        disk_mb: 0,
      },
      guarantees: [
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
      ],
      bounds,
      platform: { address: store },
    });
    writeFileSync(this.#file, text);
  }

  start() {
    this.writeSettings();
    const [command, ...args] = deployed("run").split(" ");
    const log = createWriteStream(join(this.#options.folder, `${this.name}.log`));
    this.#child = spawn(command, args, {
      cwd: TOP,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: "C.UTF-8",
        UMBERMAST_NODE_FILE: this.#file,
      },
    });
    this.#child.stdout.pipe(log);
    this.#child.stderr.pipe(log);
  }

  /** How the process ended, if it has. */
  get ended() {
    if (this.#child === undefined || this.runs) return {};
    const { exitCode, signalCode } = this.#child;
    return { exit_status: exitCode ?? "none", signal: signalCode ?? "none" };
  }

  signal(name) {
    if (this.runs) this.#child.kill(name);
  }

  async ready(withinMs = 15_000) {
    const until = Date.now() + withinMs;
    while (Date.now() < until) {
      if (await this.#isReady()) return true;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    return false;
  }

  #isReady() {
    return new Promise((resolve) => {
      const asked = get({
        host: "127.0.0.1",
        port: this.#options.ports[1],
        path: "/-/readyz",
        agent: false,
        timeout: 500,
      }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      asked.on("timeout", () => asked.destroy());
      asked.on("error", () => resolve(false));
    });
  }

  /** Ends the process; waits until it has ended. */
  async kill() {
    if (!this.runs) return;
    const ended = new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill("SIGKILL");
    await ended;
  }
}

/** The bounds of the site's sheet. */
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
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_extra: 54,
  recovery_s: 12,
  event_delay_ms: 120,
  reuse_window_s: 10,
};
