/**
 * Messages between members, over authenticated links.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/**
 * A message could not be sent, or its answer did not come. After `no-link` and
 * `refused` the handler has not run; after the others it may have.
 */
export interface PeerUnreachable {
  readonly _tag: "PeerUnreachable";
  readonly peer: string;
  readonly reason:
    | "no-link"
    | "timeout"
    | "closed"
    | "refused"
    | "handler-failed";
}

/** Makes a {@linkcode PeerUnreachable}. */
export function peerUnreachable(
  peer: string,
  reason: PeerUnreachable["reason"],
): PeerUnreachable {
  return { _tag: "PeerUnreachable", peer, reason };
}

/** Receives the messages of one channel. */
export type MessageHandler = (
  from: string,
  message: unknown,
) => Effect.Effect<unknown>;

/**
 * Links to all members. A message belongs to a named channel; the value is any
 * CBOR item, which the receiver checks.
 */
export interface Peers {
  /**
   * Sends without waiting for an answer. A link that is not there yet is dialled
   * and the message waits for it.
   *
   * @returns false when the message is dropped at once: the member is not known
   * or could not be reached a moment ago, the queue is full, or the message is
   * larger than a frame. True is no promise that it arrives.
   */
  send(to: string, channel: string, message: unknown): boolean;
  /**
   * Sends and waits for the answer of the other end's handler. Interrupting the
   * effect, or its timeout, interrupts that handler.
   */
  request(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
    options: { readonly timeoutMs: number },
  ): Effect.Effect<unknown, PeerUnreachable>;
  /** Sets the handler of a channel; a second one for the same channel throws. */
  handle(channel: string, handler: MessageHandler): void;
  /**
   * Calls the listener when a member can be reached over a link after it could
   * not, and when a link that failed in use could not be replaced. That an idle
   * link closes is not told, so `down` hints at a member that is gone, and
   * `membership` decides.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(
    listener: (peer: string, state: "up" | "down") => void,
  ): () => void;
}
