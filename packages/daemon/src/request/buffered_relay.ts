/**
 * Relays a non-streamed response to the caller once it is known to be complete.
 *
 * @module
 */
import { endsInChunks } from "@umbermast/coordination/transfer_coding";
import * as Effect from "effect/Effect";
import type {
  ResponseInterrupted,
  RunnerResponse,
} from "../connection/runner_response.ts";
import { forwardedHead } from "./runner_headers.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { Call, CallerGone, Header, Reply, ResponseHead } from "./call.ts";
import { parseJson, type Usage, usageOf } from "./usage.ts";

/** How the relay of a non-streamed response ended. */
export type BufferedResult =
  | { readonly _tag: "Complete"; readonly usage: Usage }
  | {
    readonly _tag: "Truncated";
    readonly reason: "reset" | "silent" | "no-end";
  };

/** Collaborators and limits of the relay. */
export interface BufferedRelayContext {
  readonly call: Call;
  readonly reply: Reply;
  readonly settings: AttemptSettings;
}

/** Media types of one JSON value, such as `application/problem+json`. */
const ONE_JSON_VALUE = /^[^;]*[/+]json\s*(?:;|$)/;
const ENDS_IN_DIGIT = /\d$/;

const NO_USAGE: Usage = { promptTokens: undefined, outputTokens: undefined };

/**
 * Buffers up to `heldAnswerBytes` before anything is sent to the caller, so that
 * an interrupted response can still be replaced by a retry or an error. A longer
 * response is relayed as it arrives; if it is interrupted, the caller's
 * connection is closed too, and the caller detects the truncation by the
 * declared length or the missing last chunk.
 */
export function relayBuffered(
  response: RunnerResponse,
  context: BufferedRelayContext,
): Effect.Effect<BufferedResult, CallerGone> {
  return Effect.gen(function* () {
    const buffered = yield* Effect.result(
      bufferBody(response, context.settings),
    );
    if (buffered._tag === "Failure") return truncated(buffered.failure.reason);
    const { chunks, ended } = buffered.success;
    if (!ended) return yield* passThrough(response, chunks, context);
    const body = Buffer.concat(chunks);
    const result = checkComplete(response, body, context.call);
    if (result._tag === "Truncated") return result;
    context.reply.writeHead(headWithLength(response, body, context.call));
    if (body.length > 0) yield* context.reply.write(body);
    context.reply.end();
    return result;
  });
}

interface BufferedBody {
  readonly chunks: Buffer[];
  /** Whether the declared end was reached within the bound. */
  readonly ended: boolean;
}

function bufferBody(
  response: RunnerResponse,
  settings: AttemptSettings,
): Effect.Effect<BufferedBody, ResponseInterrupted> {
  return Effect.gen(function* () {
    const chunks: Buffer[] = [];
    let size = 0;
    while (size <= settings.heldAnswerBytes) {
      const chunk = yield* response.next(settings.bodyIdleMs);
      if (chunk === undefined) return { chunks, ended: true };
      chunks.push(chunk);
      size += chunk.length;
    }
    return { chunks, ended: false };
  });
}

function passThrough(
  response: RunnerResponse,
  chunks: readonly Buffer[],
  context: BufferedRelayContext,
): Effect.Effect<BufferedResult, CallerGone> {
  return Effect.gen(function* () {
    const { reply, settings } = context;
    if (!hasDeclaredEnd(response, context.call)) return truncated("no-end");
    reply.writeHead(forwardedHead(response));
    for (const chunk of chunks) yield* reply.write(chunk);
    for (;;) {
      const next = yield* Effect.result(response.next(settings.bodyIdleMs));
      if (next._tag === "Failure") return truncated(next.failure.reason);
      if (next.success === undefined) break;
      yield* reply.write(next.success);
    }
    reply.end();
    return { _tag: "Complete", usage: NO_USAGE };
  });
}

/**
 * Checks that a response is complete. One that neither declares its length nor
 * ends in a last chunk ends when the connection closes, which also happens when
 * the runner crashes; it counts as complete only if it is valid JSON that shows its
 * own end. JSON of an engine is always parsed, since it contains the usage.
 */
function checkComplete(
  response: RunnerResponse,
  body: Buffer,
  call: Call,
): BufferedResult {
  const declared = hasDeclaredEnd(response, call);
  const type = response.header("content-type") ?? "";
  const json = type.includes("json");
  if (!json) return declared ? complete(NO_USAGE) : truncated("no-end");
  if (call.model === undefined && declared) return complete(NO_USAGE);
  const text = body.toString("utf8");
  const value = parseJson(text);
  if (value === undefined) return truncated("no-end");
  if (!declared && !showsEnd(type, text)) return truncated("no-end");
  return complete(usageOf(value));
}

/**
 * Whether valid JSON is no part of a longer text of its type: more digits may follow
 * a number, and more values a line of JSON lines.
 */
function showsEnd(type: string, json: string): boolean {
  return ONE_JSON_VALUE.test(type) && !ENDS_IN_DIGIT.test(json);
}

function hasDeclaredEnd(response: RunnerResponse, call: Call): boolean {
  if (call.method === "HEAD") return true;
  if (response.status === 204 || response.status === 304) return true;
  if (response.header("content-length") !== undefined) return true;
  return endsInChunks(response.header("transfer-encoding") ?? "");
}

/** Adds the exact length, so that the caller can detect a truncated response. */
function headWithLength(
  response: RunnerResponse,
  body: Buffer,
  call: Call,
): ResponseHead {
  const head = forwardedHead(response);
  const headers: Header[] = [...head.headers];
  const known = headers.some((header) => header.name === "content-length");
  const bodiless = call.method === "HEAD" || head.status === 204 ||
    head.status === 304;
  if (!known && !bodiless) {
    headers.push({ name: "content-length", value: String(body.length) });
  }
  if (call.model !== undefined && head.status >= 400) {
    headers.push({ name: "umbermast-outcome", value: "failed" });
  }
  return { status: head.status, headers };
}

function complete(usage: Usage): BufferedResult {
  return { _tag: "Complete", usage };
}

function truncated(reason: "reset" | "silent" | "no-end"): BufferedResult {
  return { _tag: "Truncated", reason };
}
