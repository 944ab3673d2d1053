/**
 * Identifies a request across its attempts.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";

/**
 * Length of a fingerprint in bytes; among a billion requests, two hardly ever
 * share one.
 */
const FINGERPRINT_BYTES = 9;

/** The parts of a request that are the same in all its attempts. */
export interface FingerprintInput {
  readonly host: string;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  /** Name of the caller's workspace; `undefined` where no key is needed. */
  readonly workspace: string | undefined;
  readonly body: Buffer;
}

/**
 * Returns a short text that is the same for each attempt of a request, at any
 * daemon, and different for any other request. It reveals nothing of the body.
 *
 * @example
 * ```ts
 * fingerprintOf({ host, method: "POST", target: "/chat/", workspace, body });
 * // "q2wQJ6dZ1vXh"
 * ```
 */
export function fingerprintOf(input: FingerprintInput): string {
  const { host, method, target, workspace, body } = input;
  const head = JSON.stringify([host, method, target, workspace ?? null]);
  return createHash("sha256").update(head).update(body).digest()
    .subarray(0, FINGERPRINT_BYTES).toString("base64url");
}
