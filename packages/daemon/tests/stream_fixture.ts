/**
 * Streamed answers of a fixture runner.
 *
 * @module
 */
import * as http from "node:http";
import { echo } from "./runner_fixture.ts";
import type { Received } from "./runner_fixture.ts";

/** A token event with its number as text; the last one of `of` finishes. */
export function tokenEvent(number: number, of: number): string {
  const finish = number === of ? "stop" : null;
  const choice = {
    index: 0,
    delta: { content: `<${number}>` },
    finish_reason: finish,
  };
  const usage = { prompt_tokens: 11, completion_tokens: of };
  const event = number === of
    ? { choices: [choice], usage }
    : { choices: [choice] };
  return `data: ${JSON.stringify(event)}\n\n`;
}

/** Token events `from` (counted from 1) to `to`, of a stream of `of`. */
export function tokenEvents(
  range: { readonly from: number; readonly to: number; readonly of: number },
): string {
  let text = "";
  for (let n = range.from; n <= range.to; n++) text += tokenEvent(n, range.of);
  return text;
}

/** Begins a stream's answer. */
export function streamHead(
  request: Received,
  response: http.ServerResponse,
): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    ...echo(request),
  });
}

/** The end mark of a stream. */
export const DONE = "data: [DONE]\n\n";
