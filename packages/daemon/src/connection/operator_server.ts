/**
 * The HTTP server for operators and their tools.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import { BodyBlocks } from "@umbermast/router/body";
import {
  ConnectionPool,
  createSerialServer,
} from "@umbermast/router/connections";
import * as Effect from "effect/Effect";
import { addressOf, listen } from "./listener.ts";
import type { ListenOptions } from "./listener.ts";

/** A response to an operator. */
export interface OperatorResponse {
  readonly status: number;
  /** `application/json` by default. */
  readonly contentType?: string;
  readonly body: string;
}

/** Handles GET requests for one resource. */
export type OperatorResource = (
  query: URLSearchParams,
) => OperatorResponse | Promise<OperatorResponse>;

/** Handles the JSON that an operator posts to one resource. */
export type OperatorPostHandler = (body: unknown) => OperatorResponse;

/** Resources by path. */
export type OperatorResources = Readonly<Record<string, OperatorResource>>;

/** Handlers of POST requests, by path. */
export type OperatorPostHandlers = Readonly<
  Record<string, OperatorPostHandler>
>;

const HEADER_TIMEOUT_MS = 5000;
const BODY_TIMEOUT_MS = 5000;
/** Limits of all connections: operators and their tools are few. */
const CONNECTION_LIMITS = { connections: 256, heldBytes: 4 * 1024 * 1024 };
/** Fits the largest table with its history, and the surrounding JSON. */
const MAX_BODY_BYTES = 1_200_000;
const BEARER = /^Bearer +(.+)$/i;

/** Builds a JSON response. */
export function jsonResponse(value: unknown, status = 200): OperatorResponse {
  return { status, body: JSON.stringify(value) };
}

function errorResponse(
  status: number,
  code: string,
  message: string,
): OperatorResponse {
  return jsonResponse({ error: { code, message } }, status);
}

/**
 * Compares secrets by digest and in constant time: a comparison that stops at the
 * first wrong character would allow guessing the token character by character.
 */
function secretsEqual(received: string, expected: string): boolean {
  const digest = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(received), digest(expected));
}

function isAuthorized(request: IncomingMessage, token: string): boolean {
  const received = BEARER.exec(request.headers.authorization ?? "")?.[1];
  return received !== undefined && secretsEqual(received, token);
}

function send(response: ServerResponse, result: OperatorResponse): void {
  response.writeHead(result.status, {
    "content-type": result.contentType ?? "application/json",
    "content-length": Buffer.byteLength(result.body),
  });
  response.end(result.body);
}

/** Reads the body of a request; `undefined` when it is too long or incomplete. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const blocks = new BodyBlocks();
  try {
    for await (const chunk of request) {
      blocks.add(chunk);
      if (blocks.length > MAX_BODY_BYTES) return undefined;
    }
  } catch {
    return undefined;
  }
  return blocks.join().toString("utf8");
}

async function handlePost(
  request: IncomingMessage,
  postHandler: OperatorPostHandler,
): Promise<OperatorResponse> {
  const text = await readBody(request);
  if (text === undefined) {
    const message = `Cannot take a body above ${MAX_BODY_BYTES} bytes`;
    return errorResponse(413, "body_too_large", message);
  }
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return errorResponse(400, "body_not_json", "Cannot read the body as JSON");
  }
  return postHandler(body);
}

/** The token and the handlers of the operators' server. */
interface RequestContext {
  readonly token: string;
  readonly resources: OperatorResources;
  readonly postHandlers: OperatorPostHandlers;
}

async function handleRequest(
  request: IncomingMessage,
  { token, resources, postHandlers }: RequestContext,
): Promise<OperatorResponse> {
  if (!isAuthorized(request, token)) {
    const message = 'Cannot answer: expected authorization "Bearer TOKEN"';
    return errorResponse(401, "token_invalid", message);
  }
  const url = new URL(request.url ?? "/", "http://operators");
  const path = url.pathname;
  const resource = Object.hasOwn(resources, path) ? resources[path] : undefined;
  const postHandler = Object.hasOwn(postHandlers, path)
    ? postHandlers[path]
    : undefined;
  if (resource === undefined && postHandler === undefined) {
    return errorResponse(404, "path_unknown", `Cannot find "${path}"`);
  }
  if (request.method === "GET" && resource !== undefined) {
    return await resource(url.searchParams);
  }
  if (request.method === "POST" && postHandler !== undefined) {
    return await handlePost(request, postHandler);
  }
  const needed = resource === undefined ? "POST" : "GET";
  const message =
    `Cannot serve method "${request.method}": ${needed} is needed`;
  return errorResponse(405, "method_unsupported", message);
}

/** An open server for operators. */
export interface OperatorServer {
  /** Address and port, as `IP:PORT`. */
  readonly address: string;
  close(): void;
}

/** Opens the server for operators. */
export const openOperatorServer = Effect.fnUntraced(function* (
  listenAt: ListenOptions & { readonly token: string },
  resources: OperatorResources,
  options: { readonly postHandlers?: OperatorPostHandlers } = {},
) {
  const { postHandlers = {} } = options;
  const { token } = listenAt;
  const serve: RequestListener = (request, response) => {
    handleRequest(request, { token, resources, postHandlers }).then(
      (result) => send(response, result),
      () =>
        send(response, errorResponse(500, "internal", "Cannot answer: fault")),
    );
  };
  const server = createSerialServer({
    headersTimeout: HEADER_TIMEOUT_MS,
    requestTimeout: HEADER_TIMEOUT_MS + BODY_TIMEOUT_MS,
    noDelay: true,
  }, { pool: new ConnectionPool(CONNECTION_LIMITS), serve });
  yield* listen(server, listenAt);
  const opened: OperatorServer = {
    address: addressOf(server),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return opened;
});
