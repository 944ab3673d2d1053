/**
 * The port that operators and their tools connect to.
 *
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { listen, placeOf } from "./listener.ts";
import type { ListenAt } from "./listener.ts";

/** An answer to an operator. */
export interface OperatorAnswer {
  readonly status: number;
  /** `application/json` unless said otherwise. */
  readonly contentType?: string;
  readonly body: string;
}

/** Answers one resource. */
export type OperatorResource = (
  query: URLSearchParams,
) => OperatorAnswer | Promise<OperatorAnswer>;

/** Resources by path. */
export type OperatorResources = Readonly<Record<string, OperatorResource>>;

const HEADER_TIMEOUT_MS = 5000;
const MAX_CONNECTIONS = 256;
const BEARER = /^Bearer +(.+)$/i;

/** Makes a JSON answer. */
export function jsonAnswer(value: unknown, status = 200): OperatorAnswer {
  return { status, body: JSON.stringify(value) };
}

function errorAnswer(
  status: number,
  code: string,
  message: string,
): OperatorAnswer {
  return jsonAnswer({ error: { code, message } }, status);
}

/**
 * Compares by digest and in constant time: a comparison that stops at the first
 * wrong character would let a caller guess the token character by character.
 */
function sameSecret(given: string, expected: string): boolean {
  const digest = (text: string) => createHash("sha256").update(text).digest();
  return timingSafeEqual(digest(given), digest(expected));
}

function isAllowed(request: IncomingMessage, token: string): boolean {
  const given = BEARER.exec(request.headers.authorization ?? "")?.[1];
  return given !== undefined && sameSecret(given, token);
}

function send(response: ServerResponse, answer: OperatorAnswer): void {
  response.writeHead(answer.status, {
    "content-type": answer.contentType ?? "application/json",
    "content-length": Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
}

async function answerTo(
  request: IncomingMessage,
  options: {
    readonly token: string;
    readonly resources: OperatorResources;
  },
): Promise<OperatorAnswer> {
  if (!isAllowed(request, options.token)) {
    const message = 'Cannot answer: expected authorization "Bearer TOKEN"';
    return errorAnswer(401, "token_invalid", message);
  }
  const url = new URL(request.url ?? "/", "http://operators");
  const resource = Object.hasOwn(options.resources, url.pathname)
    ? options.resources[url.pathname]
    : undefined;
  if (resource === undefined) {
    const message = `Cannot find "${url.pathname}"`;
    return errorAnswer(404, "path_unknown", message);
  }
  if (request.method !== "GET") {
    const message = `Cannot serve method "${request.method}": GET is needed`;
    return errorAnswer(405, "method_unsupported", message);
  }
  return await resource(url.searchParams);
}

/** An operators' port that is open. */
export interface OperatorServer {
  /** Address and port, as `IP:PORT`. */
  readonly place: string;
  close(): void;
}

/** Opens the operators' port. */
export const openOperatorServer = Effect.fnUntraced(function* (
  at: ListenAt & { readonly token: string },
  resources: OperatorResources,
) {
  const server = createServer(
    { headersTimeout: HEADER_TIMEOUT_MS, noDelay: true },
    (request, response) => {
      answerTo(request, { token: at.token, resources }).then(
        (answer) => send(response, answer),
        () =>
          send(response, errorAnswer(500, "internal", "Cannot answer: fault")),
      );
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  yield* listen(server, at);
  const opened: OperatorServer = {
    place: placeOf(server),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return opened;
});
