/**
 * HTTP requests whose responses fail with their connection.
 *
 * @module
 */
import { request } from "node:http";
import type { ClientRequest, IncomingMessage, RequestOptions } from "node:http";
import { ClientAgent } from "./client_socket.ts";

/** Responses that were not complete when their connections ended. */
const endedWithConnections = new WeakSet<IncomingMessage>();

/**
 * Starts a request as `request` of "node:http" does, on connections whose end is
 * confirmed unless an agent opens others. A response whose connection fails is
 * destroyed with the error: after that error, Node would end a body without a length as
 * if it were whole.
 *
 * @example
 * ```ts
 * const outgoing = clientRequest({ host: "127.0.0.1", port: 8080, path: "/" });
 * outgoing.on("response", (incoming) => read(incoming));
 * outgoing.on("error", (error) => fail(error));
 * outgoing.end();
 * ```
 */
export function clientRequest(options: RequestOptions): ClientRequest {
  const agent = options.agent || new ClientAgent();
  const outgoing = request({ ...options, agent });
  outgoing.prependOnceListener("response", (incoming) => {
    watchEnd(incoming);
    outgoing.on("error", (error) => {
      if (!incoming.complete) incoming.destroy(error);
    });
  });
  return outgoing;
}

/**
 * Whether a response of {@linkcode clientRequest} that has ended stated no end, as of a
 * length or a last chunk, but ended with its connection. Heads do not tell so surely:
 * Node's parser reads some transfer codings otherwise than they look.
 */
export function endedWithConnection(incoming: IncomingMessage): boolean {
  return endedWithConnections.has(incoming);
}

function watchEnd(incoming: IncomingMessage): void {
  const { socket } = incoming;
  const note = () => {
    if (!incoming.complete) endedWithConnections.add(incoming);
  };
  // Before Node's own listener, which completes the response.
  socket.prependOnceListener("end", note);
  incoming.once("close", () => socket.off("end", note));
}
