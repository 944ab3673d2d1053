/**
 * Linked routers, runners of several software versions, and callers that resume
 * their streams.
 *
 * @module
 */
import { clientRequest } from "@umbermast/coordination/client_request";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "../src/process/event_log.ts";
import type { Runner } from "../src/process/runner.ts";
import type { RouterSettings } from "../src/process/settings.ts";
import type { Router } from "../src/router.ts";
import type {
  Configuration,
  Route,
  Service,
} from "../src/version/configuration.ts";
import { encodeChunk, startFakeRunner, streamHead } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Number of events in a stream. */
export const EVENT_COUNT = 8;
/** Time between two events in ms. */
export const EVENT_MS = 25;
/** More connections than there are streams, of which each needs one. */
const MAX_CONNECTIONS = 1_000;
const LOCALHOST = "127.0.0.1";

/** Returns a service whose runners accept a connection for each stream. */
export function wideService(name: string): Service {
  return { name, maxConnections: MAX_CONNECTIONS, engine: undefined };
}

/** A stream, or a part of it, as its caller received it. */
export interface ReceivedStream {
  readonly status: number | undefined;
  /** Software versions of the runners that wrote the events. */
  readonly versions: readonly string[];
  readonly lastEventId: number;
  readonly retryAfter: string | undefined;
}

/** What a caller sends. */
export interface StreamRequest {
  readonly id: string;
  readonly key?: string;
  readonly path?: string;
  /** The attempt whose stream is resumed, and the last event that came. */
  readonly resumes?: string;
  readonly lastEventId?: number;
  /** Number of received events after which the caller disconnects. */
  readonly leaveAfter?: number;
}

/** The routers, the runners and their state. */
export class VersionedStreams {
  readonly linked: LinkedRouters;
  readonly #context: TestContext;
  readonly #runners = new Map<string, FakeRunner>();
  /** Ids of the requests whose first run breaks off after two events. */
  readonly breaking = new Set<string>();
  /** Ids of the requests that reached runners, in order of arrival. */
  readonly arrivals: string[] = [];

  private constructor(context: TestContext, linked: LinkedRouters) {
    this.#context = context;
    this.linked = linked;
  }

  /** Starts routers and one runner for each version in the list. */
  static async start(context: TestContext, shape: {
    readonly routers: number;
    readonly versions: readonly string[];
    readonly settings?: Partial<RouterSettings>;
    readonly fields?: Partial<Configuration>;
    readonly route?: Partial<Route>;
    readonly log?: EventLog;
  }): Promise<VersionedStreams> {
    const route: Partial<Route> = {
      streaming: true,
      repetition: "resumable",
      maxAttempts: 2,
      timeoutMs: 8_000,
      patienceMs: 8_000,
      gapTargetMs: 300,
      ...shape.route,
    };
    const { settings, log } = shape;
    const fields = { services: [wideService("service")], ...shape.fields };
    const linked = new LinkedRouters(context, route, settings, fields);
    const streams = new VersionedStreams(context, linked);
    for (const version of shape.versions) await streams.addRunner(version);
    for (let index = 0; index < shape.routers; index++) {
      await linked.add({ log });
    }
    return streams;
  }

  get routers(): readonly Router[] {
    return this.linked.routers;
  }

  /** Starts a runner and lists it. */
  async addRunner(version: string, service = "service"): Promise<Runner> {
    const name = `r-${this.#runners.size + 1}`;
    const fake = await startFakeRunner(
      this.#context,
      name,
      (socket, text, id) => void this.#stream({ socket, text, id, version }),
    );
    const runner = { ...fake.runner, service, softwareVersion: version };
    this.#runners.set(name, { ...fake, runner });
    this.#list();
    return runner;
  }

  /** Ends the runners of a version, and removes them from the list. */
  async removeVersion(version: string): Promise<void> {
    for (const [name, fake] of this.#runners) {
      if (fake.runner.softwareVersion !== version) continue;
      this.#runners.delete(name);
      this.#list();
      await fake.end();
    }
  }

  /** Sends a request to a router, and receives its stream. */
  send(router: Router, stream: StreamRequest): Promise<ReceivedStream> {
    const { id, key, path = "/", resumes, lastEventId } = stream;
    const { leaveAfter = Infinity } = stream;
    const outgoing = clientRequest({
      host: LOCALHOST,
      port: router.callersPort,
      path,
      headers: {
        host: "test",
        "x-id": id,
        ...(key !== undefined && { "x-key": key }),
        ...(resumes !== undefined && { "x-resumes": resumes }),
        ...(lastEventId !== undefined && { "last-event-id": lastEventId }),
      },
    });
    return new Promise((resolve) => {
      const versions: string[] = [];
      let last = lastEventId ?? 0;
      let incoming: IncomingMessage | undefined;
      const end = () =>
        resolve({
          status: incoming?.statusCode,
          versions,
          lastEventId: last,
          retryAfter: incoming?.headers["retry-after"],
        });
      outgoing.on("error", end);
      outgoing.on("close", end);
      outgoing.on("response", (response) => {
        incoming = response;
        response.on("error", () => {});
        response.on("data", (chunk) => {
          for (const [, event, data] of eventsOf(String(chunk))) {
            last = Number(event);
            versions.push(data!);
          }
          if (versions.length >= leaveAfter) outgoing.destroy();
        });
        response.on("end", end);
      });
      outgoing.end();
    });
  }

  #list(): void {
    this.linked.runners.set(
      [...this.#runners.values()].map(({ runner }) => runner),
    );
  }

  async #stream({ socket, text, id, version }: {
    readonly socket: Socket;
    readonly text: string;
    readonly id: string;
    readonly version: string;
  }): Promise<void> {
    this.arrivals.push(id);
    const from = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0);
    const breaks = this.breaking.delete(id);
    const last = breaks ? from + 2 : EVENT_COUNT;
    socket.write(streamHead(id));
    for (let event = from + 1; event <= last; event++) {
      await pause(EVENT_MS);
      if (socket.destroyed) return;
      socket.write(encodeChunk(`id: ${event}\ndata: ${version}\n\n`));
    }
    if (breaks) return void socket.destroy();
    socket.write("0\r\n\r\n");
  }
}

function eventsOf(text: string): Iterable<RegExpMatchArray> {
  return text.matchAll(/id: (\d+)\ndata: (\S+)/g);
}
