/**
 * Addresses of other daemons, which come from settings, the store and peers.
 *
 * @module
 */
import { connect, Socket } from "node:net";

const ADDRESS = /^([^\s:]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

function parseAddress(
  text: string,
): { readonly host: string; readonly port: number } | undefined {
  const match = ADDRESS.exec(text);
  const port = Number(match?.[2]);
  if (match === null || port > MAX_PORT) return undefined;
  return { host: match[1]!, port };
}

/** Whether a value is an address as "HOST:PORT". */
export function isPeerAddress(value: unknown): value is string {
  return typeof value === "string" && parseAddress(value) !== undefined;
}

/**
 * Connects to a daemon. With another text than an address the connection fails
 * later, as with an address that nobody listens at; Node throws on a port that is
 * out of range.
 */
export function connectToPeer(address: string): Socket {
  const parsed = parseAddress(address);
  if (parsed !== undefined) return connect(parsed);
  return new Socket().destroy(new Error("Cannot connect: invalid address"));
}
