/**
 * The stand-in for the platform: object API and lagging host list.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Faults } from "./process/faults.ts";
import { HostList, readHost } from "./process/host_list.ts";
import {
  header,
  readBody,
  readJson,
  sendJson,
  serve,
  type StandIn,
} from "./process/http_server.ts";
import { ObjectStore, type WriteResult } from "./process/object_store.ts";
import { RateLimit } from "./process/rate_limit.ts";

/** Settings of the platform. */
export interface PlatformConfig {
  /** 0 lets the system choose. */
  readonly port: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly maxValueBytes: number;
  /** Events of a kind that a watch can go back. */
  readonly keptEvents: number;
  /** Lag of the host list. */
  readonly hostLagMs: number;
}

/** Defaults of the platform's settings. */
export const PLATFORM_DEFAULTS: PlatformConfig = {
  port: 0,
  writesPerSecond: 400,
  readsPerSecond: 2000,
  maxValueBytes: 1_000_000,
  keptEvents: 10_000,
  hostLagMs: 2000,
};

/** Calls by kind since the start, as `GET /calls` gives them. */
export interface Calls {
  readonly reads: number;
  readonly writes: number;
  readonly lists: number;
  readonly watches: number;
  readonly hosts: number;
  /** Calls refused because a rate was exceeded. */
  readonly limited: number;
}

type Counter = keyof Calls;

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const TOO_LARGE = 413;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const MAX_WAIT_MS = 60_000;

/** Starts a platform in this process. */
export function startPlatform(
  config: Partial<PlatformConfig> = {},
): Promise<StandIn> {
  const platform = new Platform({ ...PLATFORM_DEFAULTS, ...config });
  return serve(
    (request, response) => platform.handle(request, response),
    { faults: platform.faults, port: platform.config.port },
  );
}

/** One call, taken apart. */
interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  /** Parts of the path, decoded. */
  readonly parts: readonly string[];
  readonly query: URLSearchParams;
}

class Platform {
  readonly config: PlatformConfig;
  readonly faults = new Faults();
  readonly #store: ObjectStore;
  readonly #hosts: HostList;
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  readonly #calls: Record<Counter, number> = {
    reads: 0,
    writes: 0,
    lists: 0,
    watches: 0,
    hosts: 0,
    limited: 0,
  };

  constructor(config: PlatformConfig) {
    this.config = config;
    this.#store = new ObjectStore(config.keptEvents);
    this.#hosts = new HostList(() =>
      this.faults.get("frozen-hosts") !== undefined
    );
    this.#reads = new RateLimit(config.readsPerSecond);
    this.#writes = new RateLimit(config.writesPerSecond);
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? "/", "http://x");
    const parts = pathname.slice(1).split("/").map(decodeURIComponent);
    const method = request.method ?? "GET";
    const call = { request, response, method, parts, query: searchParams };
    const [area] = parts;
    if (area === "calls") return sendJson(response, this.#calls);
    if (area === "hosts" && method !== "GET") return await this.#setHost(call);
    if (this.#isDown(area)) {
      return sendJson(response, { error: "outage" }, {
        status: UNAVAILABLE,
        headers: { "retry-after": "1" },
      });
    }
    if (area === "hosts") return await this.#listHosts(call);
    if (area === "watch") return await this.#watch(call);
    if (area === "objects") return await this.#object(call);
    sendJson(response, { error: `Unknown path "${pathname}"` }, {
      status: NOT_FOUND,
    });
  }

  #isDown(area: string | undefined): boolean {
    const order = this.faults.get("down");
    if (order === undefined) return false;
    if (order.part === undefined) return true;
    return (order.part === "hosts") === (area === "hosts");
  }

  /** Counts a call; false, and 429 sent, when its rate is exceeded. */
  #admit(call: Call, counter: Counter): boolean {
    this.#calls[counter] += 1;
    const limit = counter === "writes" ? this.#writes : this.#reads;
    if (limit.take()) return true;
    this.#calls.limited += 1;
    sendJson(call.response, { error: "rate exceeded" }, {
      status: TOO_MANY_REQUESTS,
      headers: { "retry-after": "1" },
    });
    return false;
  }

  async #object(call: Call): Promise<void> {
    const [, kind, name] = call.parts;
    if (kind === undefined || kind === "") {
      return sendJson(call.response, { error: "no kind" }, {
        status: NOT_FOUND,
      });
    }
    if (call.method === "GET" && name === undefined) {
      return this.#list(call, kind);
    }
    const place = { kind, name: name ?? "" };
    if (call.method === "GET") return this.#read(call, place);
    if (call.method === "PUT") return await this.#write(call, place);
    if (call.method === "DELETE") return this.#remove(call, place);
    sendJson(call.response, { error: `Unknown method "${call.method}"` }, {
      status: NOT_FOUND,
    });
  }

  #list(call: Call, kind: string): void {
    if (!this.#admit(call, "lists")) return;
    const { revision } = this.#store;
    sendJson(call.response, { revision, items: this.#store.list(kind) });
  }

  #read(call: Call, place: { kind: string; name: string }): void {
    if (!this.#admit(call, "reads")) return;
    const item = this.#store.read(place.kind, place.name);
    if (item !== undefined) {
      return sendJson(call.response, { kind: place.kind, ...item });
    }
    sendJson(call.response, { error: "not found" }, { status: NOT_FOUND });
  }

  async #write(
    call: Call,
    place: { kind: string; name: string },
  ): Promise<void> {
    const { response } = call;
    const body = await readBody(call.request);
    if (!this.#admit(call, "writes")) return;
    if (body.length > this.config.maxValueBytes) {
      const error = `value of ${body.length} bytes`;
      return sendJson(response, { error }, { status: TOO_LARGE });
    }
    const value = parseJson(body);
    if (value === undefined) {
      const error = "body: expected JSON";
      return sendJson(response, { error }, { status: BAD_REQUEST });
    }
    const item = { name: place.name, value };
    const result = this.#store.write(place.kind, item, condition(call));
    this.#answerWrite(call, result);
  }

  #remove(call: Call, place: { kind: string; name: string }): void {
    if (!this.#admit(call, "writes")) return;
    const result = this.#store.remove(place.kind, place.name, condition(call));
    this.#answerWrite(call, result);
  }

  #answerWrite(call: Call, result: WriteResult | undefined): void {
    // The write has been applied; only its reply is lost.
    if (this.faults.strike("lose-reply") !== undefined) {
      call.request.socket.destroy();
      return;
    }
    if (result === undefined) {
      return sendJson(call.response, { error: "not found" }, {
        status: NOT_FOUND,
      });
    }
    const { version, written } = result;
    sendJson(call.response, { version }, written ? {} : { status: CONFLICT });
  }

  async #watch(call: Call): Promise<void> {
    if (!this.#admit(call, "watches")) return;
    const kind = call.parts[1] ?? "";
    const from = Number(call.query.get("from") ?? 0);
    const until = Date.now() + waitOf(call);
    let events = this.#store.eventsAfter(kind, from);
    while (events?.length === 0 && Date.now() < until) {
      await this.#store.changed(kind, until - Date.now());
      events = this.#store.eventsAfter(kind, from);
    }
    if (this.#isDown("watch")) {
      call.request.socket.destroy();
      return;
    }
    if (events === undefined) {
      return sendJson(call.response, { error: "list again" }, { status: GONE });
    }
    sendJson(call.response, { revision: this.#store.revision, events });
  }

  async #listHosts(call: Call): Promise<void> {
    if (!this.#admit(call, "hosts")) return;
    const from = Number(call.query.get("from") ?? 0);
    const until = Date.now() + waitOf(call);
    if (this.faults.get("frozen-hosts") === undefined) this.#hosts.thaw();
    while (this.#hosts.revision <= from && Date.now() < until) {
      await this.#hosts.changed(until - Date.now());
    }
    const { revision } = this.#hosts;
    sendJson(call.response, { revision, hosts: this.#hosts.list() });
  }

  async #setHost(call: Call): Promise<void> {
    const name = call.parts[1] ?? "";
    const lagMs = Number(call.query.get("lag") ?? this.config.hostLagMs);
    if (call.method === "DELETE") {
      this.#hosts.set(name, undefined, { lagMs });
      return sendJson(call.response, { name });
    }
    const host = readHost(await readJson(call.request));
    if (typeof host === "string") {
      return sendJson(call.response, { error: host }, { status: BAD_REQUEST });
    }
    this.#hosts.set(name, host, { lagMs });
    sendJson(call.response, { name });
  }
}

function waitOf(call: Call): number {
  return Math.min(MAX_WAIT_MS, Number(call.query.get("wait") ?? 0));
}

function condition(call: Call): { readonly ifVersion: number | undefined } {
  const given = header(call.request, "if-version");
  return { ifVersion: given === undefined ? undefined : Number(given) };
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}
