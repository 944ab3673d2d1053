/**
 * What the caller's side saw of one request.
 *
 * @module
 */
import type { Answer } from "@umbermast/testing";
import type { Arrival } from "./arrivals.ts";

/** One request as its caller saw it; moments in epoch milliseconds. */
export interface CallerRecord {
  readonly arrival: Arrival;
  /** Base address of the daemon that it was sent to. */
  readonly daemon: string;
  readonly idempotencyKey: string | undefined;
  /** When the request was due; lateness of the sender counts against the answer. */
  readonly dueAt: number;
  readonly sentAt: number;
  /** Checked for wholeness and ownership; its times count from the send. */
  readonly answer: Answer;
}

/** Milliseconds from when a request was due until its first token. */
export function firstTokenMs(record: CallerRecord): number | undefined {
  const { answer, sentAt, dueAt } = record;
  if (answer.firstTokenMs === undefined) return undefined;
  return sentAt - dueAt + answer.firstTokenMs;
}

/** Milliseconds from when a request was due until its end. */
export function wholeMs(record: CallerRecord): number {
  return record.sentAt - record.dueAt + record.answer.wholeMs;
}

/** Mean milliseconds between tokens; `undefined` with fewer than two. */
export function betweenTokensMs(record: CallerRecord): number | undefined {
  const { firstTokenMs: first, wholeMs: whole, tokens } = record.answer;
  if (first === undefined || tokens < 2) return undefined;
  return (whole - first) / (tokens - 1);
}
