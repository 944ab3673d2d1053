/**
 * Addresses of other daemons, which come from settings, the store and peers.
 *
 * @module
 */
const ADDRESS = /^[^\s:]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Whether a value is an address as "HOST:PORT". */
export function isPeerAddress(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const port = ADDRESS.exec(value)?.[1];
  return port !== undefined && Number(port) <= MAX_PORT;
}
