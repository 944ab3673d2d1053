/**
 * Responses that this daemon generates.
 *
 * @module
 */

/** A response that this daemon generates itself. */
export interface Refusal {
  readonly status: number;
  /** Stable code of the reason, listed in docs/codes.md. */
  readonly code: string;
  /**
   * Milliseconds after which a retry makes sense; only if the request has not
   * run.
   */
  readonly retryAfterMs?: number | undefined;
  /** Whether the connection closes after the response. */
  readonly close?: boolean;
}
