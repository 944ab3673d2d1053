/**
 * Connections over TCP to addresses that may be unusable.
 *
 * @module
 */
import { connectClient } from "@umbermast/coordination/client_socket";
import { Socket } from "node:net";
import type { ListenAddress } from "../process/settings.ts";

/**
 * Starts to open a connection. If Node rejects the address, such as one with port
 * 99999, the socket fails like one that is refused: the caller need not expect errors.
 */
export function openSocket({ host, port }: ListenAddress): Socket {
  try {
    return connectClient({ host, port });
  } catch (error) {
    return new Socket().destroy(error as Error);
  }
}

/** Does the same for an address as "IP:PORT". */
export function openSocketTo(address: string): Socket {
  const [host = "", port = ""] = address.split(":");
  return openSocket({ host, port: Number(port) });
}
