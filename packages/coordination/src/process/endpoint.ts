/**
 * Network endpoints and their validation.
 *
 * @module
 */

import { isIP } from "node:net";

/** The address and port that a member listens on. */
export interface Endpoint {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Whether a value is an IP address. */
export function isAddress(address: unknown): address is string {
  return typeof address === "string" && isIP(address) !== 0;
}

/**
 * Whether a value is a port that can be dialled. Node throws on any other
 * value, and a record received from another process must not crash this one.
 */
export function isPort(port: unknown): port is number {
  return Number.isSafeInteger(port) && Number(port) >= 1 &&
    Number(port) <= MAX_PORT;
}

/** The address or port cannot be listened on. */
export interface ListenFailed {
  readonly _tag: "ListenFailed";
  readonly endpoint: Endpoint;
  readonly message: string;
}

/** Makes a {@linkcode ListenFailed}. */
export function listenFailed(endpoint: Endpoint, cause: Error): ListenFailed {
  const { address, port } = endpoint;
  const message =
    `Cannot listen on "${address}" port ${port}: ${cause.message}`;
  return { _tag: "ListenFailed", endpoint, message };
}
