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

/** Takes the JSON that an operator posts to one resource. */
export type OperatorIntake = (body: unknown) => OperatorAnswer;

/** Resources by path. */
export type OperatorResources = Readonly<Record<string, OperatorResource>>;

/** What operators may post to, by path. */
export type OperatorIntakes = Readonly<Record<string, OperatorIntake>>;

const HEADER_TIMEOUT_MS = 5000;
const BODY_TIMEOUT_MS = 5000;
const MAX_CONNECTIONS = 256;
/** The largest table with its history, and what surrounds it. */
const MAX_BODY_BYTES = 1_200_000;
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

/** The body of a request; `undefined` when it is too long or broken off. */
async function bodyOf(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString("utf8");
}

async function take(
  request: IncomingMessage,
  intake: OperatorIntake,
): Promise<OperatorAnswer> {
  const text = await bodyOf(request);
  if (text === undefined) {
    const message = `Cannot take a body above ${MAX_BODY_BYTES} bytes`;
    return errorAnswer(413, "body_too_large", message);
  }
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return errorAnswer(400, "body_not_json", "Cannot read the body as JSON");
  }
  return intake(body);
}

/** What the operators' port serves, and to whom. */
interface Served {
  readonly token: string;
  readonly resources: OperatorResources;
  readonly intakes: OperatorIntakes;
}

async function answerTo(
  request: IncomingMessage,
  { token, resources, intakes }: Served,
): Promise<OperatorAnswer> {
  if (!isAllowed(request, token)) {
    const message = 'Cannot answer: expected authorization "Bearer TOKEN"';
    return errorAnswer(401, "token_invalid", message);
  }
  const url = new URL(request.url ?? "/", "http://operators");
  const path = url.pathname;
  const resource = Object.hasOwn(resources, path) ? resources[path] : undefined;
  const intake = Object.hasOwn(intakes, path) ? intakes[path] : undefined;
  if (resource === undefined && intake === undefined) {
    return errorAnswer(404, "path_unknown", `Cannot find "${path}"`);
  }
  if (request.method === "GET" && resource !== undefined) {
    return await resource(url.searchParams);
  }
  if (request.method === "POST" && intake !== undefined) {
    return await take(request, intake);
  }
  const needed = resource === undefined ? "POST" : "GET";
  const message =
    `Cannot serve method "${request.method}": ${needed} is needed`;
  return errorAnswer(405, "method_unsupported", message);
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
  options: { readonly intakes?: OperatorIntakes } = {},
) {
  const { intakes = {} } = options;
  const server = createServer(
    {
      headersTimeout: HEADER_TIMEOUT_MS,
      requestTimeout: HEADER_TIMEOUT_MS + BODY_TIMEOUT_MS,
      noDelay: true,
    },
    (request, response) => {
      answerTo(request, { token: at.token, resources, intakes }).then(
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
