/**
 * Heads of requests and responses, and their translation to and from the
 * platform's headers.
 *
 * @module
 */

import type { PromptPart } from "../process/prefix_index.ts";
import type { ReportedLoad } from "../process/runner_load.ts";
import type { RunnerStatements } from "../process/runner_statements.ts";
import type { StatedLimit } from "../process/runner_limits.ts";

/** Alternating names and values as received, including repeated names. */
export type RawHeaders = readonly string[];

/** Head of a caller's request. */
export interface RequestHead {
  /** Id of the caller's attempt, which runners echo; empty when absent. */
  readonly id: string;
  readonly host: string;
  /** API key of a workspace. */
  readonly key: string | undefined;
  /** Milliseconds that the caller is willing to wait. */
  readonly deadlineMs: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Tokens that the caller expects in the response; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Parts of the prompt in order; the last one is specific to the request. */
  readonly prompt: readonly PromptPart[];
  /** Last event that the caller has received of a stream that it resumes. */
  readonly lastEventId: number | undefined;
  /**
   * Id of the caller's attempt that brought the first event of the stream that it
   * resumes.
   */
  readonly resumes: string | undefined;
}

/** Head of a request to a runner, in addition to the caller's own headers. */
export interface RunnerRequestHead {
  /** Name of the intended runner; no other runner may run the request. */
  readonly runnerName: string;
  /** Milliseconds that are left. */
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** 0 is the most urgent; absent for plain services. */
  readonly rank: number | undefined;
  /** Address of a runner that has part of the prompt cached, as "IP:PORT". */
  readonly fetchFrom: string | undefined;
  /** Last event that was delivered, if the request continues a stream. */
  readonly lastEventId: number | undefined;
}

/** Head of a runner's response. */
export interface ResponseHead extends RunnerStatements {
  /**
   * Attempt that the response belongs to; absent when the runner names none.
   */
  readonly id: string | undefined;
  /** Whether the runner's seal shows that the response is its own. */
  readonly sealed: boolean;
  /** Whether the runner states that it has not run the request. */
  readonly notExecuted: boolean;
  /** Whether the address now belongs to another runner. */
  readonly misdirected: boolean;
  /** Whether the body has a content encoding, which no runner applies. */
  readonly encoded: boolean;
  readonly load: ReportedLoad | undefined;
  /** Rate limit that the runner states; absent when it states none. */
  readonly limit: StatedLimit | undefined;
}

/** Translates heads between callers, this daemon and runners. */
export interface Dialect {
  /** Parses the head of a caller's request. */
  parseRequest(headers: RawHeaders): RequestHead;
  /**
   * Returns the headers for the runner: the caller's own, except those that
   * this daemon sets.
   */
  runnerHeaders(headers: RawHeaders, head: RunnerRequestHead): string[];
  /** Parses the head of a runner's response. */
  parseResponse(status: number, headers: RawHeaders): ResponseHead;
  /** Returns the id of a stream's event, given the text of the event. */
  eventId(event: string): number | undefined;
}
