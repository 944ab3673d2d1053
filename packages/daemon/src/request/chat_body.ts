/**
 * Parses the fields of a chat completion's body that the daemon uses. The body
 * itself is forwarded to the engine byte for byte, so unknown fields pass through.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Problem } from "./call.ts";
import { problem } from "./problems.ts";

/** Fields of a chat completion that determine its routing. */
export interface ChatParameters {
  readonly model: string;
  readonly streamed: boolean;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  readonly prefixDigest: string;
}

/** Estimated characters per token of English text; corrected on settlement. */
const CHARS_PER_TOKEN = 4;
/** Long enough for a shared system prompt, short enough for a cheap digest. */
const PREFIX_CHARS = 1024;
const DIGEST_LENGTH = 16;
/**
 * Matches parser errors that end in a position. Only the position is included in
 * the response, since errors of other forms quote the body, which contains a
 * prompt. Those end in "is not valid JSON", so quoted text never matches.
 */
const PARSER_POSITION =
  / in JSON at position (\d+)(?: \(line \d+ column \d+\))?$/;

function invalid(place: string, needed: string): Problem {
  return problem("body_invalid", `Cannot read ${place}: ${needed}`, { place });
}

function parseJson(body: Uint8Array): Result<unknown, Problem> {
  let text: string;
  try {
    text = new TextDecoder("utf-8", { fatal: true }).decode(body);
  } catch {
    return err(invalid("body", "expected UTF-8 text"));
  }
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const position = PARSER_POSITION.exec(String(error))?.[1];
    const at = position === undefined ? "" : ` at position ${position}`;
    return err(invalid("body", `expected JSON; parsing fails${at}`));
  }
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Returns the text of a message's content: a string, or an array of text parts. */
function contentText(content: unknown): string {
  if (typeof content === "string") return content;
  if (!Array.isArray(content)) return "";
  return content
    .map((part) =>
      isObject(part) && typeof part["text"] === "string" ? part["text"] : ""
    )
    .join("");
}

function checkMessages(messages: unknown): Result<string, Problem> {
  if (!Array.isArray(messages) || messages.length === 0) {
    return err(invalid("body/messages", "expected an array with a message"));
  }
  const texts: string[] = [];
  for (const [index, message] of messages.entries()) {
    if (!isObject(message)) {
      return err(invalid(`body/messages/${index}`, "expected an object"));
    }
    if (typeof message["role"] !== "string") {
      return err(invalid(`body/messages/${index}/role`, "expected a string"));
    }
    texts.push(contentText(message["content"]));
  }
  return ok(texts.join("\n"));
}

function checkMaxTokens(
  body: Readonly<Record<string, unknown>>,
): Result<number | undefined, Problem> {
  for (const field of ["max_completion_tokens", "max_tokens"]) {
    const value = body[field];
    if (value === undefined || value === null) continue;
    if (!Number.isSafeInteger(value) || (value as number) < 1) {
      return err(invalid(`body/${field}`, "expected an integer from 1"));
    }
    return ok(value as number);
  }
  return ok(undefined);
}

/** Parses a chat completion's body. */
export function parseChatBody(
  body: Uint8Array,
): Result<ChatParameters, Problem> {
  const json = parseJson(body);
  if (json.isErr()) return err(json.error);
  const value = json.value;
  if (!isObject(value)) return err(invalid("body", "expected an object"));
  const { model, stream } = value;
  if (typeof model !== "string" || model === "") {
    return err(invalid("body/model", "expected the name of a model"));
  }
  if (stream !== undefined && stream !== null && typeof stream !== "boolean") {
    return err(invalid("body/stream", "expected true or false"));
  }
  const text = checkMessages(value["messages"]);
  if (text.isErr()) return err(text.error);
  const maxTokens = checkMaxTokens(value);
  if (maxTokens.isErr()) return err(maxTokens.error);
  return ok({
    model,
    streamed: stream === true,
    promptTokens: Math.ceil(text.value.length / CHARS_PER_TOKEN),
    prefixDigest: digestOf(text.value.slice(0, PREFIX_CHARS)),
    ...(maxTokens.value === undefined ? {} : { maxTokens: maxTokens.value }),
  });
}

function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(
    0,
    DIGEST_LENGTH,
  );
}
