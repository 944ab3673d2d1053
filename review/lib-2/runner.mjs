/**
 * A stand-in of a sound runner of a plain service, which notes what it runs.
 */
import http from "node:http";
import { listen, LOOPBACK, now, pause, portOf, runnerEntry } from "./kit.mjs";

export class Runner {
  /** Runs: { id, at, method, path, tenant }. */
  runs = [];
  running = 0;
  waiting = 0;
  #queue = [];

  /**
   * @param options.answer `(run, request, response) => Promise`: writes the answer;
   * by default a short JSON body.
   */
  constructor({ id, service, zone, capacity = 6, queue = 24, workMs = 60, answer, record }) {
    Object.assign(this, { id, service, zone, capacity, queue, workMs, record });
    this.answer = answer ?? this.#answerShortly;
  }

  async start(store) {
    this.server = http.createServer((request, response) => {
      request.on("error", () => {});
      response.on("error", () => {});
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 5000;
    await listen(this.server);
    this.port = portOf(this.server);
    this.address = `${LOOPBACK}:${this.port}`;
    store.put("servers", this.id, runnerEntry(this));
    return this;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  get load() {
    return `${this.running},${this.waiting},${this.capacity}`;
  }

  async #serve(request, response) {
    const { headers, url } = request;
    response.setHeader("Umbermast-Instance-Id", this.id);
    if (url === "/healthz") {
      response.setHeader("Umbermast-Instance-Load", this.load);
      return void response.end();
    }
    if (url === "/-/report") return void response.end(JSON.stringify({ models: [] }));
    if (url === "/-/kv-list") return void response.end(JSON.stringify({ held: [] }));
    const id = headers["umbermast-attempt-id"] ?? "";
    response.setHeader("Umbermast-Attempt-Id", id);
    for await (const _ of request);
    const expected = headers["umbermast-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return this.#reject(response, 421);
    }
    if (this.running >= this.capacity) {
      if (this.waiting >= this.queue) return this.#reject(response, 503);
      this.waiting += 1;
      await new Promise((resolve) => this.#queue.push(resolve));
      this.waiting -= 1;
    }
    if (response.destroyed) return void this.#queue.shift()?.();
    this.running += 1;
    const run = {
      id,
      at: now(),
      method: request.method,
      path: url,
      tenant: headers["umbermast-tenant"],
    };
    this.runs.push(run);
    this.record?.line(`${this.id} runs ${id}: ${run.method} ${run.path}`);
    try {
      await this.answer(run, request, response);
    } finally {
      this.running -= 1;
      this.#queue.shift()?.();
    }
  }

  #reject(response, status) {
    response.writeHead(status, { "Umbermast-Not-Executed": "1" }).end();
  }

  async #answerShortly({ id }, _request, response) {
    await pause(this.workMs);
    response.setHeader("Umbermast-Response-Seal", `${this.id}.${id}`);
    response.setHeader("Umbermast-Instance-Load", this.load);
    response.end(JSON.stringify({ id, text: "x".repeat(800) }));
  }
}
