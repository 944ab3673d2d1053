/**
 * What makes two tries the same request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";

/** Bytes of a fingerprint: two of a billion requests hardly ever share one. */
const BYTES = 9;

/** What a caller asks for, whichever try it is. */
export interface FingerprintInput {
  readonly host: string;
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  /** Name of the workspace that asks; none where no key is needed. */
  readonly workspace: string | undefined;
  readonly body: Buffer;
}

/**
 * A short text that is the same for each try of one request, at any daemon, and
 * another one for any other request. It tells nothing of the body.
 *
 * @example
 * ```ts
 * fingerprintOf({ host, method: "POST", target: "/chat/", workspace, body });
 * // "q2wQJ6dZ1vXh"
 * ```
 */
export function fingerprintOf(asked: FingerprintInput): string {
  const { host, method, target, workspace, body } = asked;
  const head = JSON.stringify([host, method, target, workspace ?? null]);
  return createHash("sha256").update(head).update(body).digest()
    .subarray(0, BYTES).toString("base64url");
}
