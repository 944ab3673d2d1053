/**
 * An ask that waits at a broker.
 *
 * @module
 */
import type { AskMessage } from "./messages.ts";

/** A waiting ask with the values that determine its order. Times are monotonic. */
export interface WaitingAsk {
  readonly ask: AskMessage;
  /** Name of the entry daemon that sent the ask. */
  readonly entry: string;
  /** Estimated cost, in tokens of output. */
  readonly cost: number;
  /** Size of the ask, for the queue's size limit. */
  readonly bytes: number;
  /** When the request reached its entry daemon. */
  readonly arrivedAt: number;
  /** Deadline of the request. */
  readonly deadlineAt: number;
  /** Latest start to meet the class's target; `Infinity` without a target. */
  readonly startBy: number;
}
