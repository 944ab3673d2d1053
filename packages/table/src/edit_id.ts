/**
 * Ids of edits.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const RANDOM_BYTES = 8;
const EDIT_ID = /^e(\d+)-[0-9a-f]+$/;

/**
 * A new id. It holds the sequence of the version that the edit is made from, so
 * that resolving it need not look at older history.
 *
 * @example
 * ```ts
 * newEditId(12); // "e12-9f86d081884c7d65"
 * ```
 */
export function newEditId(baseSequence: number): string {
  return `e${baseSequence}-${randomBytes(RANDOM_BYTES).toString("hex")}`;
}

/** The sequence in an id; 0, and so all of history, for an id of another form. */
export function baseSequenceOf(editId: string): number {
  return Number(EDIT_ID.exec(editId)?.[1] ?? 0);
}
