/**
 * The interface of messaging between members over authenticated links.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/**
 * A message could not be sent, or its response did not arrive. With `no-link`
 * and `refused`, the handler has not run; with the other reasons it may have.
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

/** Handles the messages of a channel; its result is the response. */
export type MessageHandler = (
  from: string,
  message: unknown,
) => Effect.Effect<unknown>;

/**
 * Links to all members. Each message is sent on a named channel. Its value may
 * be any CBOR item, which the receiver validates.
 */
export interface Peers {
  /**
   * Sends a message without waiting for a response. If there is no link yet, it
   * is dialled and the message is queued.
   *
   * @returns false if the message is dropped immediately: the member is unknown
   * or was recently unreachable, the queue is full, or the message is larger
   * than a frame. True does not guarantee delivery.
   */
  send(to: string, channel: string, message: unknown): boolean;
  /**
   * Sends a message and waits for the response of the peer's handler.
   * Interrupting the effect, or its time-out, interrupts that handler.
   */
  request(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
    options: { readonly timeoutMs: number },
  ): Effect.Effect<unknown, PeerUnreachable>;
  /** Sets the handler of a channel. Throws if the channel already has one. */
  handle(channel: string, handler: MessageHandler): void;
  /**
   * Calls the listener with `up` when a member becomes reachable over a link,
   * and with `down` when a link that failed in use could not be replaced.
   * Closing an idle link is not reported. So `down` only suggests that a member
   * has failed; the membership decides.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(
    listener: (peer: string, state: "up" | "down") => void,
  ): () => void;
}
