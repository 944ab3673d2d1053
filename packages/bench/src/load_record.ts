/**
 * What the caller's side saw of one request.
 *
 * @module
 */

/** How a request ended for its caller. */
export type CallerEnd =
  /** The answer was whole. */
  | "complete"
  /** An error status before any byte of an answer. */
  | "refused"
  /** The answer began and ended in an explicit error. */
  | "broken"
  /** The answer ended as if whole, but is not. */
  | "truncated"
  /** The connection ended without a word. */
  | "lost"
  /** The caller gave up waiting. */
  | "gave-up";

/** One request as its caller saw it; times in epoch milliseconds. */
export interface CallerRecord {
  /** Number of the arrival that it stands for. */
  readonly index: number;
  /** Absent when no head came. */
  readonly requestId: string | undefined;
  readonly daemon: string;
  readonly phase: string;
  readonly class: string;
  readonly workspace: string;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** When the request was due; lateness of the sender counts against the answer. */
  readonly dueAt: number;
  readonly sentAt: number;
  readonly headAt: number | undefined;
  readonly firstTokenAt: number | undefined;
  readonly endedAt: number;
  /** Token events, or bytes of a plain answer. */
  readonly tokens: number;
  /** Longest gap between two token events. */
  readonly longestGapMs: number | undefined;
  /** Mean gap between token events. */
  readonly meanGapMs: number | undefined;
  readonly status: number | undefined;
  readonly end: CallerEnd;
  /** What the daemon said of the run: `not-run`, `failed` or `unknown`. */
  readonly outcome: string | undefined;
  /** Stable code of the error. */
  readonly code: string | undefined;
  /** The answer is not the one to this request. */
  readonly foreign: boolean;
}
