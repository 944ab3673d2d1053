/**
 * Fixtures of the callers' side: an open port before a runner that a test
 * plays, and a caller that speaks raw HTTP.
 */
import { createHash } from "node:crypto";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Table } from "@umbermast/table";
import * as Effect from "effect/Effect";
import { openCallerServer } from "../src/connection/caller_server.ts";
import type { CallerServer } from "../src/connection/caller_server.ts";
import { DecisionHistory } from "../src/process/decisions.ts";
import { LineLog } from "../src/process/log_lines.ts";
import type { CallerLimits } from "../src/process/settings.ts";
import type { Call, CallResult, Reply } from "../src/request/call.ts";
import { CallerRequests } from "../src/request/caller_requests.ts";
import { indexTable } from "../src/version/table_feed.ts";

export const KEY = "front-office-key";

/** A table with a model service, a plain service and two classes. */
export function exampleTable(): Table {
  const digest = createHash("sha256").update(KEY).digest("hex");
  return {
    classes: [
      {
        name: "quote",
        tier: 0,
        target: { firstTokenMs: 500 },
        timeoutMs: 10_000,
        minimumShare: 0.2,
      },
      {
        name: "cut-sheet",
        tier: 2,
        target: { wholeAnswerMs: 60_000 },
        timeoutMs: 120_000,
        minimumShare: 0.1,
      },
    ],
    workspaces: [{
      name: "front-office",
      keyDigests: [digest],
      defaultClass: "quote",
    }],
    rows: [{ workspace: "front-office", class: "quote", weight: 1 }],
    services: [
      {
        name: "drafting-llm",
        kind: "model",
        models: ["drafting"],
        checksFencing: true,
        slotsPerRunner: 8,
      },
      {
        name: "yard-app",
        kind: "plain",
        models: [],
        checksFencing: false,
        slotsPerRunner: 8,
      },
    ],
  };
}

export const LIMITS: CallerLimits = {
  heldBodyBytes: 1_000_000,
  bodyBytes: 65_536,
  headerBytes: 4096,
  headerTimeoutMs: 60_000,
  bodyTimeoutMs: 60_000,
  idleCallerMs: 60_000,
  callerWriteTimeoutMs: 60_000,
  callerBufferBytes: 16_384,
  connections: 100,
  queuedRequests: 100,
};

/** Runs a call; what it returns is the ending. */
export type Play = (call: Call, reply: Reply) => Effect.Effect<CallResult>;

/** Answers every call with its own facts as JSON. */
export const echo: Play = (call, reply) =>
  Effect.gen(function* () {
    const { body, ...facts } = call;
    const text = JSON.stringify({
      ...facts,
      body: Buffer.from(body).toString("utf8"),
    });
    reply.writeHead({
      status: 200,
      headers: [
        { name: "content-type", value: "application/json" },
        { name: "content-length", value: String(Buffer.byteLength(text)) },
      ],
    });
    yield* reply.write(Buffer.from(text));
    reply.end();
    return { _tag: "Complete", status: 200 } as const;
  }).pipe(
    Effect.catch(({ reason }) =>
      Effect.succeed<CallResult>({ _tag: "CallerLeft", reason })
    ),
  );

/** An open callers' port with what a test may look at. */
export interface CallerSide {
  readonly port: number;
  readonly server: CallerServer;
  readonly requests: CallerRequests;
  readonly lines: readonly string[];
  leave(): void;
  close(): Promise<void>;
}

/** Opens a callers' port before a runner that plays. */
export async function openCallerSide(options: {
  readonly play?: Play;
  readonly limits?: Partial<CallerLimits>;
  /** Bytes that open requests may take; unbounded by default. */
  readonly requestBytes?: number;
  /** The table that is in force; none when `null`. */
  readonly table?: Table | null;
} = {}): Promise<CallerSide> {
  const lines: string[] = [];
  const limits = { ...LIMITS, ...options.limits };
  const { table = exampleTable() } = options;
  const inForce = table === null
    ? undefined
    : indexTable(table, { version: 1, editId: "first" });
  let leaving = false;
  const requests = new CallerRequests({
    runner: { run: options.play ?? echo },
    limits,
    requestBytes: options.requestBytes ?? Infinity,
    log: new LineLog((line) => lines.push(line), {
      decisions: new DecisionHistory(),
    }),
    observer: {
      callEnded: () => {},
      requestRefused: () => {},
      connectionDropped: () => {},
    },
    table: () => inForce,
    isShuttingDown: () => leaving,
  });
  const server = await Effect.runPromise(openCallerServer(
    { address: "127.0.0.1", port: 0 },
    { limits, handler: requests },
  ));
  return {
    port: Number(server.address.split(":")[1]),
    server,
    requests,
    lines,
    leave: () => {
      leaving = true;
    },
    close: async () => {
      server.close();
      await Effect.runPromise(requests.idle);
    },
  };
}

/** Opens a connection to a port of this machine. */
export async function dial(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  await once(socket, "connect");
  return socket;
}

/**
 * Sends text, a byte for each character, on a connection of its own and reads
 * until the other end closes.
 */
export async function exchange(port: number, text: string): Promise<string> {
  const socket = await dial(port);
  socket.write(text, "latin1");
  return await readToEnd(socket);
}

/** Reads until the other end closes or resets the connection. */
export async function readToEnd(socket: Socket): Promise<string> {
  let text = "";
  socket.setEncoding("utf8").on("data", (part) => text += part);
  socket.on("error", () => {});
  await once(socket, "close");
  return text;
}

/** Lines of a request's head, without the blank line after it. */
export function head(
  first: string,
  headers: Readonly<Record<string, string>> = {},
): string {
  const all = { host: "umbermast", authorization: `Bearer ${KEY}`, ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return [first, ...lines].join("\r\n");
}

/** Text of a whole request, after which the connection closes. */
export function requestText(
  first: string,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  } = {},
): string {
  const { headers = {}, body = "" } = options;
  const text = head(first, {
    connection: "close",
    "content-length": String(body.length),
    ...headers,
  });
  return `${text}\r\n\r\n${body}`;
}

export const CHAT = "POST /v1/chat/completions HTTP/1.1";
export const JSON_TYPE = { "content-type": "application/json" };

/** Text of a chat completion. */
export function chatText(
  body: Readonly<Record<string, unknown>> = {},
  headers: Readonly<Record<string, string>> = {},
): string {
  const whole = {
    model: "drafting",
    messages: [{ role: "user", content: "Quote for a worktop" }],
    ...body,
  };
  return requestText(CHAT, {
    headers: { ...JSON_TYPE, ...headers },
    body: JSON.stringify(whole),
  });
}

/** The parts of an answer's text. */
export interface AnswerParts {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Splits the text of one answer. */
export function answerOf(text: string): AnswerParts {
  const split = text.indexOf("\r\n\r\n");
  const [first = "", ...lines] = text.slice(0, split).split("\r\n");
  const headers = lines.map((line): [string, string] => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  });
  return {
    status: Number(first.split(" ")[1]),
    headers: new Map(headers),
    body: text.slice(split + 4),
  };
}

/** The error of an answer, with what must be on every error. */
export function errorOf(text: string) {
  const { status, headers, body } = answerOf(text);
  const { error } = JSON.parse(body) as {
    readonly error: {
      readonly code: string;
      readonly param: string | null;
      readonly message: string;
      readonly request_id: string;
    };
  };
  return {
    status,
    code: error.code,
    place: error.param,
    message: error.message,
    outcome: headers.get("umbermast-outcome"),
    retryAfter: headers.get("retry-after"),
    sameRequestId: error.request_id === headers.get("umbermast-request-id"),
  };
}
