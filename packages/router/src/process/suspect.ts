/**
 * What may be to blame for the crash of a runner: a request, or a part of its prompt.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * Maximum number of characters of a part's id that are kept; a longer id is hashed, so
 * that callers do not decide how much is remembered and sent to other daemons.
 */
const MAX_ID_LENGTH = 64;
/** Size of the hash of an id in bytes. */
const HASH_BYTES = 12;
/** Separates the service from the id; no fingerprint contains it. */
const SEPARATOR = "/";

/** Identifies a request, by its fingerprint, or a part of prompts to a service. */
export type Suspect = string;

/**
 * Returns the suspect for a part of the prompts to a service.
 *
 * @example
 * ```ts
 * partSuspect("drafting-llm", "91bd3f06"); // "drafting-llm/91bd3f06"
 * ```
 */
export function partSuspect(service: string, id: string): Suspect {
  const short = id.length <= MAX_ID_LENGTH
    ? id
    : createHash("sha256").update(id).digest().subarray(0, HASH_BYTES)
      .toString("base64url");
  return `${service}${SEPARATOR}${short}`;
}

/** Whether the suspect is a part of prompts. */
export function isPart(suspect: Suspect): boolean {
  return suspect.includes(SEPARATOR);
}
