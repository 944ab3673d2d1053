/**
 * One attempt to send a request to a runner.
 *
 * @module
 */
import { clientRequest } from "@umbermast/coordination/client_request";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Buffer } from "node:buffer";
import { TunnelLostError, TunnelSocket } from "../connection/tunnel_socket.ts";
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { Runner } from "../process/runner.ts";
import type { Path } from "../process/runner_paths.ts";
import { guarded } from "../process/guarded.ts";
import type { Dialect, ResponseHead } from "./dialect.ts";
import { headFault } from "./relayable_head.ts";
import { ResponseBytes } from "./response_bytes.ts";

/**
 * Time-out in ms for opening a connection. A round trip between failure domains
 * takes about 3 ms; the operating system retransmits a lost opening packet
 * after 1,000 ms, by which time another runner has long responded.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Time-out in ms for opening a connection by way of a peer; three may be tried. */
const TUNNEL_TIMEOUT_MS = 1_000;

/** Maximum size in bytes of the head of a response, with interim responses. */
const MAX_HEAD_BYTES = 64 * 1024;

/**
 * Time in ms for the rest of a refusal, which is not used: its connection is kept for
 * other requests. A long one takes some round trips.
 */
const REFUSAL_TIMEOUT_MS = 1_000;

/** The request as it is sent to the runner. */
export interface OutgoingRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}

/** Result of sending a request, up to the head of the response. */
export type SendResult =
  /** A response to this request; its body follows. */
  | {
    readonly kind: "response";
    readonly status: number;
    readonly head: ResponseHead;
    readonly incoming: IncomingMessage;
  }
  /** The runner states that it has not run the request. */
  | {
    readonly kind: "not-executed";
    readonly status: number;
    readonly head: ResponseHead;
  }
  /** No part of the request was sent to the runner. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The request may have run, but there is no response to it. */
  | { readonly kind: "broken"; readonly reason: string };

function hasNoBody(outgoing: OutgoingRequest): boolean {
  return outgoing.body.length === 0 &&
    (outgoing.method === "GET" || outgoing.method === "HEAD");
}

/** Sends a request once; {@linkcode cancel} aborts it at any time. */
export class Attempt {
  readonly runner: Runner;
  readonly path: Path;
  readonly #dialect: Dialect;
  readonly #request: OutgoingRequest;
  readonly #clientRequest: ClientRequest;
  #mayHaveReachedRunner = false;
  #hadSocket = false;
  #connectTimedOut = false;
  #lostByPeer = false;
  #incoming: IncomingMessage | undefined;
  #bytes: ResponseBytes | undefined;
  #settle: (result: SendResult) => void = () => {};

  constructor(
    runner: Runner,
    outgoing: OutgoingRequest,
    options: {
      readonly dialect: Dialect;
      readonly connections: RunnerConnections;
      readonly path: Path;
      /** Maximum number of connections to one runner. */
      readonly maxConnections: number;
      /** Called for each new connection that is opened. */
      readonly onConnect: () => void;
    },
  ) {
    this.runner = runner;
    this.path = options.path;
    this.#dialect = options.dialect;
    this.#request = outgoing;
    const length = hasNoBody(outgoing)
      ? []
      : ["Content-Length", String(outgoing.body.length)];
    this.#clientRequest = clientRequest({
      agent: options.connections.agent(runner, options),
      host: runner.address,
      port: runner.port,
      method: outgoing.method,
      path: outgoing.target,
      headers: [...outgoing.headers, ...length],
    });
    this.#watchConnection(options.onConnect);
  }

  /** Whether any byte of the request may have reached the runner. */
  get mayHaveReachedRunner(): boolean {
    return this.#mayHaveReachedRunner;
  }

  /**
   * Whether a connection could not be opened, and not merely none was free below the
   * limit.
   */
  get failedToConnect(): boolean {
    return this.#hadSocket && !this.#mayHaveReachedRunner;
  }

  /** Whether the time for opening a connection has expired. */
  get connectTimedOut(): boolean {
    return this.#connectTimedOut;
  }

  /** Name of the peer that the request goes by way of. */
  get tunnelPeer(): string | undefined {
    const { socket } = this.#clientRequest;
    return socket instanceof TunnelSocket ? socket.peer : undefined;
  }

  /** Whether the peer at the other end of a tunnel is to blame for its failure. */
  get lostByPeer(): boolean {
    return this.#lostByPeer;
  }

  /** Whether the runner has begun to respond. */
  get responseStarted(): boolean {
    return this.#incoming !== undefined;
  }

  /** Sends the request and waits for the head of the response. */
  send(): Promise<SendResult> {
    return new Promise((resolve, reject) => {
      this.#settle = resolve;
      this.#clientRequest.on(
        "response",
        guarded((incoming) => resolve(this.#classify(incoming)), reject),
      );
      this.#clientRequest.on("error", (error) => this.#handleError(error));
      this.#clientRequest.on("close", () => this.#fail("connection closed"));
      this.#clientRequest.end(this.#request.body);
    });
  }

  /**
   * Records that a part of the response has arrived which is of use.
   *
   * @param maxBytes bytes that there may be up to the next one; by default as before.
   */
  recordProgress(maxBytes?: number): void {
    this.#bytes?.recordProgress(maxBytes);
  }

  /** Records bytes of a body, which is of use by its bytes and not by its parts. */
  recordBody(bytes: number): void {
    this.#bytes?.recordBody(bytes);
  }

  /**
   * Aborts the request; the runner sees its connection close and stops work.
   */
  cancel(reason: string): void {
    this.#fail(reason);
    this.#clientRequest.destroy();
  }

  #watchConnection(onConnect: () => void): void {
    const timer = setTimeout(
      () => {
        this.#connectTimedOut = true;
        // A request that still waits for a connection reports no error before it has one.
        this.#abort(new Error("connect timeout"));
      },
      this.path === "direct" ? CONNECT_TIMEOUT_MS : TUNNEL_TIMEOUT_MS,
    );
    this.#clientRequest.once("close", () => {
      clearTimeout(timer);
      this.#bytes?.stop();
    });
    this.#clientRequest.once("socket", (socket) => {
      this.#hadSocket = true;
      this.#bytes = new ResponseBytes(socket, {
        maxBytes: MAX_HEAD_BYTES,
        onExceeded: () => this.#abort(new Error("response makes no progress")),
      });
      const connected = () => {
        clearTimeout(timer);
        this.#mayHaveReachedRunner = true;
      };
      if (!socket.connecting) return connected();
      onConnect();
      socket.setNoDelay(true);
      socket.once("connect", connected);
    });
  }

  #abort(error: Error): void {
    this.#handleError(error);
    this.#incoming?.destroy(error);
    this.#clientRequest.destroy(error);
  }

  #handleError(error: Error): void {
    if (error instanceof TunnelLostError) this.#lostByPeer = true;
    this.#fail(error.message);
  }

  #fail(reason: string): void {
    this.#settle({
      kind: this.#mayHaveReachedRunner ? "broken" : "unsent",
      reason,
    });
  }

  #classify(incoming: IncomingMessage): SendResult {
    const status = incoming.statusCode!;
    const fault = headFault(status, incoming.rawHeaders);
    if (fault !== undefined) {
      return this.#discard(incoming, `malformed response: ${fault}`);
    }
    const head = this.#dialect.parseResponse(status, incoming.rawHeaders);
    if (this.#request.id !== "" && head.id !== this.#request.id) {
      // A duplicate of an earlier response, or bytes that belong to no request. The
      // response to this one may still follow, but nothing on this connection can
      // be attributed to this request any more.
      const whose = head.id === undefined ? "no" : "another";
      return this.#discard(incoming, `response to ${whose} request`);
    }
    if (head.notExecuted) {
      this.#skip(incoming);
      return { kind: "not-executed", status, head };
    }
    this.#incoming = incoming;
    return { kind: "response", status, head, incoming };
  }

  /** Reads the rest of a response that is not used, if it arrives soon. */
  #skip(incoming: IncomingMessage): void {
    const timer = setTimeout(
      () => this.#clientRequest.destroy(),
      REFUSAL_TIMEOUT_MS,
    );
    this.#clientRequest.once("close", () => clearTimeout(timer));
    incoming.on("error", () => {});
    incoming.resume();
  }

  /** Closes the connection of a response that cannot be used. */
  #discard(incoming: IncomingMessage, reason: string): SendResult {
    incoming.on("error", () => {});
    this.#clientRequest.destroy();
    return { kind: "broken", reason };
  }
}
