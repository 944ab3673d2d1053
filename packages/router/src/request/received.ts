/**
 * Tells when a request is no longer received.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/**
 * Calls a listener once, when a request has been received or its connection is closed.
 * After a response, Node does not tell a request that its connection has closed.
 *
 * @example
 * ```ts
 * response.once("close", () => onceReceived(request, release));
 * ```
 */
export function onceReceived(
  request: IncomingMessage,
  listener: () => void,
): void {
  const { socket } = request;
  if (request.closed || socket.destroyed) return listener();
  const ended = () => {
    request.off("close", ended);
    socket.off("close", ended);
    listener();
  };
  request.once("close", ended);
  socket.once("close", ended);
}
