/**
 * Counts a request as long as it takes memory.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestBudget } from "../process/request_budget.ts";
import { headerBytes } from "./headers.ts";

export { RequestBudget };

/**
 * Counts a request until its response has been sent and it has been received, since a
 * refused request is held as long as its body does not end.
 *
 * @returns false if the open requests leave no room for it.
 *
 * @example
 * ```ts
 * if (!countRequest(budget, { request, response })) refuse(response);
 * ```
 */
export function countRequest(
  budget: RequestBudget,
  { request, response }: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
  },
): boolean {
  const end = budget.open(headerBytes(request.rawHeaders));
  if (end === undefined) return false;
  response.once("close", () => onceReceived(request, end));
  return true;
}

/**
 * Calls a listener once, when a request has been received or its connection is closed.
 * After a response, Node does not tell a request that its connection has closed.
 */
function onceReceived(request: IncomingMessage, listener: () => void): void {
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
