/**
 * What the engine reads from the body of a chat request.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** A chat request as far as the engine looks at it. */
export interface Prompt {
  readonly model: string;
  readonly streamed: boolean;
  readonly promptTokens: number;
  /** Digest of the first message. */
  readonly prefix: string;
  /** Tokens of the first message. */
  readonly prefixTokens: number;
  readonly maxTokens: number | undefined;
  /** Output length that a test asks for. */
  readonly testTokens: number | undefined;
}

interface Message {
  readonly content?: unknown;
}

const CHARACTERS_PER_TOKEN = 4;
const DIGEST_LENGTH = 16;

/** Tokens of a text, by the rule of thumb of four characters each. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Digest by which the engine names a prompt's prefix: the first 16 hexadecimal
 * digits of the SHA-256 of the first message's content.
 */
export function digestPrefix(content: string): string {
  return createHash("sha256").update(content).digest("hex")
    .slice(0, DIGEST_LENGTH);
}

function countOf(value: unknown): number | undefined {
  if (typeof value !== "number" || !(value >= 1)) return undefined;
  return Math.floor(value);
}

function textOf(message: Message | undefined): string {
  const content = message?.content;
  return typeof content === "string" ? content : JSON.stringify(content ?? "");
}

/** Reads a body; `undefined` when it is not a chat request. */
export function readPrompt(body: unknown): Prompt | undefined {
  if (typeof body !== "object" || body === null) return undefined;
  const given = body as Record<string, unknown>;
  if (typeof given.model !== "string") return undefined;
  if (!Array.isArray(given.messages)) return undefined;
  const texts = (given.messages as readonly Message[]).map(textOf);
  const first = texts[0] ?? "";
  return {
    model: given.model,
    streamed: given.stream === true,
    promptTokens: countTokens(texts.join("")),
    prefix: digestPrefix(first),
    prefixTokens: countTokens(first),
    maxTokens: countOf(given.max_tokens ?? given.max_completion_tokens),
    testTokens: countOf(given.umbermast_test_tokens),
  };
}
