/**
 * How long engines take to read prompts.
 *
 * @module
 */

/** Tokens of prompts that an engine reads in a ms, with its other work. */
const READ_TOKENS_PER_MS = 50;

/** Milliseconds in which an engine reads tokens of prompts. */
export function prefillMs(tokens: number): number {
  return tokens / READ_TOKENS_PER_MS;
}
