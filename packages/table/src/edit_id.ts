/**
 * Edit ids, which contain the sequence that the edit is based on.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const RANDOM_BYTES = 8;
const EDIT_ID = /^e(\d+)-[0-9a-f]+$/;

/**
 * Returns a new edit id. It contains the sequence of the version that the edit is
 * based on, so that resolving the edit need not read older history.
 *
 * @example
 * ```ts
 * newEditId(12); // "e12-9f86d081884c7d65"
 * ```
 */
export function newEditId(baseSequence: number): string {
  return `e${baseSequence}-${randomBytes(RANDOM_BYTES).toString("hex")}`;
}

/**
 * Returns the base sequence in an edit id. For an id of another form it is 0, so
 * that the whole history is searched.
 */
export function baseSequenceOf(editId: string): number {
  return Number(EDIT_ID.exec(editId)?.[1] ?? 0);
}
