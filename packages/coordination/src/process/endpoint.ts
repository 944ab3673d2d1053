/**
 * Where processes listen.
 *
 * @module
 */

import { isIP } from "node:net";

/** Where a member listens. */
export interface Endpoint {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

const HIGHEST_PORT = 65_535;

/** Whether text is an IP address that can be dialled. */
export function isAddress(address: unknown): address is string {
  return typeof address === "string" && isIP(address) !== 0;
}

/**
 * Whether a number is a port that can be dialled. Node throws on any other, and
 * a record heard from another process must not end this one.
 */
export function isPort(port: unknown): port is number {
  return Number.isSafeInteger(port) && Number(port) >= 1 &&
    Number(port) <= HIGHEST_PORT;
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
