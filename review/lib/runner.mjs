// A stand-in of a model runner or of a plain service, as PROTOCOL.md describes them.
import { createServer } from "node:http";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * `answer(run)` does the work of one request: it gets `{ id, last, request,
 * response, runner, note }`, writes the answer and returns. The head of the answer has its id
 * and seal already.
 */
export class Runner {
  #server;
  #options;
  active = 0;
  leaving = false;

  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  static async start(options) {
    const runner = new Runner(options);
    const server = createServer((request, response) => {
      request.on("error", () => {});
      response.on("error", () => {});
      runner.#serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 5_000;
    runner.#server = server;
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    return runner;
  }

  get port() {
    return this.#server.address().port;
  }

  /** What the runner writes of itself into the store. */
  entry(sequence = 1) {
    const { service, zone = "zone-a", capacity, version = "v1" } = this.#options;
    return {
      backend: service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version,
      capacity,
      state: this.leaving ? "draining" : "ready",
      warmup_left_ms: 0,
      phase_name: "mixed",
      models: [{ name: "m", version: 1, loras: [] }],
      sequence,
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const { capacity, queue = 24, record } = this.#options;
    const load = () => `${Math.min(this.active, capacity)},${
      Math.max(0, this.active - capacity)
    },${capacity}`;
    if (request.url === "/healthz") {
      response.setHeader("Umbermast-Instance-Id", this.id);
      response.setHeader("Umbermast-Instance-Load", load());
      return void response.end();
    }
    if (request.url === "/-/report" || request.url.startsWith("/-/kv-list")) {
      return void response.end(JSON.stringify({ epoch: 1, held: [] }));
    }
    const id = String(request.headers["umbermast-attempt-id"] ?? "");
    response.setHeader("Umbermast-Attempt-Id", id);
    response.setHeader("Umbermast-Instance-Load", load());
    const expected = request.headers["umbermast-expect-instance"];
    const refusal = expected !== undefined && expected !== this.id
      ? 421
      : this.active >= capacity + queue
      ? 503
      : undefined;
    if (refusal !== undefined) {
      record("refused", { id, runner: this.id, status: refusal });
      request.resume();
      response.writeHead(refusal, { "Umbermast-Not-Executed": "1" });
      return void response.end();
    }
    this.active += 1;
    let done = false;
    response.once("close", () => {
      this.active -= 1;
      if (!done) record("dropped", { id, runner: this.id });
    });
    for await (const _ of request);
    const last = Number(request.headers["last-event-id"] ?? 0);
    record("run", {
      id,
      runner: this.id,
      last,
      deadline: Number(request.headers["umbermast-deadline-ms"]),
    });
    response.setHeader("Umbermast-Response-Seal", `${this.id}.${id}`);
    await this.#options.answer({ id, last, request, response, runner: this });
    if (!response.destroyed && response.writableEnded) {
      done = true;
      record("ran", { id, runner: this.id });
    }
  }
}

export { sleep };
