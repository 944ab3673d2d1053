/**
 * HTTP requests whose responses fail with their connection.
 *
 * @module
 */
import { request } from "node:http";
import type { ClientRequest, RequestOptions } from "node:http";
import { ClientAgent } from "./client_socket.ts";

/**
 * Starts a request as `request` of "node:http" does, on connections whose end is
 * confirmed unless an agent opens others. A response whose connection fails is
 * destroyed with the error: Node would end a body without a length as if it were whole.
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
    outgoing.on("error", (error) => {
      if (!incoming.complete) incoming.destroy(error);
    });
  });
  return outgoing;
}
