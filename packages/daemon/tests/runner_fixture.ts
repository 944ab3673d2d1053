/**
 * A runner that is told what to do with each request.
 *
 * @module
 */
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Runner } from "../src/process/runner.ts";

/** One request as a fixture runner received it. */
export interface Received {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers one request; `number` counts the runner's requests from 1. */
export type Script = (
  exchange: {
    readonly number: number;
    readonly request: Received;
    readonly response: http.ServerResponse;
    readonly socket: Socket;
  },
) => void;

/** A small HTTP server standing for a runner. */
export interface FixtureRunner {
  readonly runner: Runner;
  readonly received: readonly Received[];
  readonly cancels: readonly string[];
  /** Ends when a cancel order has come. */
  cancelled(): Promise<void>;
  close(): Promise<void>;
}

/** Starts a runner that answers by the script; cancel orders are recorded apart. */
export async function startRunner(
  name: string,
  script: Script,
): Promise<FixtureRunner> {
  const received: Received[] = [];
  const cancels: string[] = [];
  const waiting: (() => void)[] = [];
  const server = http.createServer((incoming, response) => {
    const pieces: Buffer[] = [];
    incoming.on("data", (piece: Buffer) => pieces.push(piece));
    incoming.on("error", () => {});
    incoming.on("end", () => {
      const body = Buffer.concat(pieces).toString("utf8");
      if (incoming.url === "/v1/cancel") {
        cancels.push(JSON.parse(body).requestId);
        response.end("{}");
        for (const wake of waiting.splice(0)) wake();
        return;
      }
      const request = {
        method: incoming.method ?? "",
        path: incoming.url ?? "",
        headers: incoming.headers,
        body,
      };
      received.push(request);
      const number = received.length;
      script({ number, request, response, socket: incoming.socket });
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  return {
    runner: runnerAt(name, port),
    received,
    cancels,
    cancelled: () =>
      cancels.length > 0
        ? Promise.resolve()
        : new Promise((done) => waiting.push(done)),
    close: () =>
      new Promise((done) => {
        server.close(() => done());
        server.closeAllConnections();
      }),
  };
}

/** A runner of this machine, listening or not. */
export function runnerAt(name: string, port: number): Runner {
  return {
    name,
    service: "drafting-llm",
    address: "127.0.0.1",
    port,
    region: "kingston",
    failureDomain: "portmore",
    state: "live",
    incarnation: 1,
  };
}

/** A port on which nothing listens. */
export async function closedPort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((done) => server.close(() => done()));
  return port;
}

/** Headers that a well-behaved runner echoes. */
export function echo(request: Received): Readonly<Record<string, string>> {
  return {
    "umbermast-request-id": String(request.headers["umbermast-request-id"]),
    "umbermast-attempt-id": String(request.headers["umbermast-attempt-id"]),
  };
}
