/**
 * An ask that waits at a broker.
 *
 * @module
 */
import type { AskMessage } from "./messages.ts";

/** A waiting ask with what its order depends on. Times are monotonic. */
export interface WaitingAsk {
  readonly ask: AskMessage;
  /** Daemon that asked. */
  readonly entry: string;
  /** Estimated cost, in tokens of output. */
  readonly cost: number;
  /** Size of the ask, for the queue's bound. */
  readonly bytes: number;
  /** When the request reached its entry daemon. */
  readonly arrivedAt: number;
  /** When its answer is of no use any more. */
  readonly deadlineAt: number;
  /** When it must start to meet its class's target; infinite without one. */
  readonly startBy: number;
}
