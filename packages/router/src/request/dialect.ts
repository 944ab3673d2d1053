/**
 * A caller's request and a runner's answer, as the platform's words say them.
 *
 * @module
 */

import type { PromptPart } from "../process/prefix_index.ts";
import type { ReportedLoad } from "../process/runner_load.ts";
import type { StatedLimit } from "../process/runner_limits.ts";

/** Names and values as received, in turn, with repeated names. */
export type RawHeaders = readonly string[];

/** What the head of a caller's request says. */
export interface RequestHead {
  /** Names this try of the caller; runners echo it. Empty when absent. */
  readonly id: string;
  readonly host: string;
  /** Key of a workspace. */
  readonly key: string | undefined;
  /** Milliseconds that the caller will wait. */
  readonly deadlineMs: number | undefined;
  /** Tokens of the prompt. */
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly maxOutputTokens: number;
  /** Tokens of the answer that the caller expects; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Parts of the prompt in order; the last one is the request's own. */
  readonly prompt: readonly PromptPart[];
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId: number | undefined;
}

/** What a runner is told beside the caller's own headers. */
export interface RunnerRequestHead {
  /** Name of the runner that is meant; no other one may run the request. */
  readonly runnerName: string;
  /** Milliseconds that are left. */
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** 0 is the most urgent; absent for plain services. */
  readonly rank: number | undefined;
  /** Address of a runner that holds part of the prompt, as "IP:PORT". */
  readonly fetchFrom: string | undefined;
  /** Last event that was delivered of a stream that goes on. */
  readonly lastEventId: number | undefined;
}

/** What the head of a runner's answer says. */
export interface ResponseHead {
  /** Try that the answer belongs to; absent when the runner named none. */
  readonly id: string | undefined;
  /** Whether the runner vouches that the answer is its own. */
  readonly sealed: boolean;
  /** Whether the runner says that the request has not run. */
  readonly notExecuted: boolean;
  /** Whether the address now belongs to another runner. */
  readonly misdirected: boolean;
  /** Whether the body has an encoding, which no runner applies. */
  readonly encoded: boolean;
  readonly load: ReportedLoad | undefined;
  /** What it says of how much it takes; absent when it says nothing. */
  readonly limit: StatedLimit | undefined;
}

/** How heads are spelled between callers, this daemon and runners. */
export interface Dialect {
  /** Reads the head of a caller's request. */
  parseRequest(headers: RawHeaders): RequestHead;
  /** Headers for the runner: the caller's own, less those that are ours to set. */
  runnerHeaders(headers: RawHeaders, head: RunnerRequestHead): string[];
  /** Reads the head of a runner's answer. */
  parseResponse(status: number, headers: RawHeaders): ResponseHead;
  /** Id of an event of a stream, given the event's text. */
  eventId(event: string): number | undefined;
}
