/**
 * Where processes listen.
 *
 * @module
 */

/** Where a member listens. */
export interface Endpoint {
  /** IP address. */
  readonly address: string;
  readonly port: number;
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
