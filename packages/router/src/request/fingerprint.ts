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

/** Number of values of a character in base64url. */
const BASE = 64;
const BASE64URL =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/** Characters of a fingerprint that determine its spread. */
const SPREAD_LENGTH = 3;

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

/**
 * Returns a number in [0, 1) that is the same for each attempt of a request, and
 * evenly distributed over requests.
 */
export function spreadOf(fingerprint: string): number {
  let spread = 0;
  for (const character of [...fingerprint.slice(0, SPREAD_LENGTH)].reverse()) {
    spread = (spread + BASE64URL.indexOf(character)) / BASE;
  }
  return spread;
}
