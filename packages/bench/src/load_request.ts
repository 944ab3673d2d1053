/**
 * Bodies that callers send.
 *
 * @module
 */
import type { Arrival } from "./arrivals.ts";

const CHARACTERS_PER_TOKEN = 4;
/** Share of a prompt that it has in common with others of its prefix. */
const PREFIX_SHARE = 0.6;

function words(start: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  return `${start} `.padEnd(length, "word ").slice(0, Math.max(length, 1));
}

/**
 * The JSON body of an arrival: for a model, a prompt of the right length whose
 * first message is shared by all of the same prefix. The length of the output
 * stands in a field that only the stand-in engine reads, so that a router does
 * not know it, as it would not know it of a real engine.
 */
export function bodyOf(arrival: Arrival): string {
  if (arrival.model === undefined) {
    return JSON.stringify({ card: arrival.index, class: arrival.class });
  }
  const shared = Math.floor(arrival.promptTokens * PREFIX_SHARE);
  const prefix = `${arrival.class} ${arrival.prefix}`;
  const own = `${arrival.workspace} ${arrival.index}`;
  return JSON.stringify({
    model: arrival.model,
    messages: [
      { role: "system", content: words(prefix, shared) },
      { role: "user", content: words(own, arrival.promptTokens - shared) },
    ],
    stream: arrival.streamed,
    umbermast_test_tokens: Math.max(1, arrival.outputTokens),
  });
}
