// A stand-in of the platform's store, as PROTOCOL.md describes it.
import { createServer } from "node:http";

const ANSWER_MS = 4;
const PATH = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?$/;

export class Store {
  #kinds = new Map();
  #changes = [];
  #revision = 1;
  #waiting = new Set();
  #server;

  static async start() {
    const store = new Store();
    store.#server = createServer((request, response) => {
      store.#serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) =>
      store.#server.listen(0, "127.0.0.1", resolve)
    );
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or a runner does. */
  put(kind, name, spec) {
    const before = this.#objects(kind).get(name);
    const object = {
      metadata: {
        name,
        revision: ++this.#revision,
        created_at: before?.metadata.created_at ?? Date.now(),
        finalizers: [],
        deletion_pending: false,
      },
      spec,
      status: {},
    };
    this.#objects(kind).set(name, object);
    this.#tell({ kind, object, deleted: false });
    return object;
  }

  remove(kind, name) {
    const object = this.#objects(kind).get(name);
    if (object === undefined) return;
    this.#objects(kind).delete(name);
    const metadata = { ...object.metadata, revision: ++this.#revision };
    this.#tell({ kind, object: { ...object, metadata }, deleted: true });
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #tell(change) {
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(request, response) {
    let text = "";
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url, "http://store");
    const match = PATH.exec(url.pathname);
    const reply = match === null ? { status: 404 } : await this.#answer(
      request.method,
      decodeURIComponent(match[1]),
      match[2] && decodeURIComponent(match[2]),
      url.searchParams,
      text === "" ? undefined : JSON.parse(text),
    );
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
  }

  async #answer(method, kind, name, query, body) {
    const objects = this.#objects(kind);
    if (method === "GET" && name === undefined) {
      if (query.has("watch")) return await this.#watch(kind, query);
      const entries = [...objects.values()];
      return { status: 200, body: { entries, has_more: false, at: this.#revision } };
    }
    const found = objects.get(name ?? body?.metadata.name);
    if (method === "GET") {
      return found ? { status: 200, body: found } : { status: 404 };
    }
    if (method === "POST") {
      if (found) return { status: 409, body: found };
      return { status: 200, body: this.put(kind, body.metadata.name, body.spec) };
    }
    if (found === undefined) return { status: 404 };
    const condition = body?.metadata?.revision ?? query.get("revision");
    if (condition != null && Number(condition) !== found.metadata.revision) {
      return { status: 409, body: found };
    }
    if (method === "DELETE") {
      this.remove(kind, name);
      return { status: 200, body: {} };
    }
    return { status: 200, body: this.put(kind, name, body.spec) };
  }

  async #watch(kind, query) {
    const since = Number(query.get("watch"));
    const until = Date.now() + Number(query.get("wait_ms") ?? 0);
    for (;;) {
      const events = this.#changes.filter((change) =>
        change.kind === kind && change.object.metadata.revision > since
      ).map(({ object, deleted }) => ({ object, deleted }));
      const left = until - Date.now();
      if (events.length > 0 || left <= 0) {
        return { status: 200, body: { events, at: this.#revision } };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiting.add(wake);
      });
    }
  }
}
