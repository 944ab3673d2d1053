/**
 * Revisions of the platform's store that also rise when the store is restored.
 *
 * A store that is restored from a backup gives revisions out again. As a daemon
 * keeps what has the highest revision, it would ignore the store until the
 * revisions from before are passed, and a conditional write could replace
 * another object than the one that was read. A revision therefore holds the
 * store's epoch, the number of its restores, in the digits above the counter.
 *
 * @module
 */

/**
 * Values of the counter in an epoch: at 2,000 changes a second they last for four
 * years.
 */
const COUNTERS = 2 ** 38;
/** Highest epoch; all revisions of it are safe integers. */
const MAX_EPOCH = 2 ** 15 - 1;

/**
 * Builds a revision from the store's epoch and its own revision in that epoch.
 *
 * @example
 * ```ts
 * storeRevision(2, 7) > storeRevision(1, 500); // true
 * ```
 *
 * @throws {RangeError} when the epoch or the counter is out of range.
 */
export function storeRevision(epoch: number, counter: number): number {
  if (!isStoreEpoch(epoch)) {
    throw new RangeError(`Store epoch ${epoch} is not in 0 to ${MAX_EPOCH}`);
  }
  if (!isStoreCounter(counter)) {
    throw new RangeError(`Store revision ${counter} is not in 0 to 2^38 - 1`);
  }
  return epoch * COUNTERS + counter;
}

/** Whether a value can be the store's own revision in an epoch. */
export function isStoreCounter(value: unknown): value is number {
  return isIntegerUpTo(value, COUNTERS - 1);
}

/** Whether a value can be an epoch of the store. */
export function isStoreEpoch(value: unknown): value is number {
  return isIntegerUpTo(value, MAX_EPOCH);
}

/** The epoch of a revision. */
export function epochOf(revision: number): number {
  return Math.floor(revision / COUNTERS);
}

/** The store's own revision in its epoch. */
export function counterOf(revision: number): number {
  return revision % COUNTERS;
}

/**
 * The revision of a list that may be out of date. It may be from before the last
 * restore, so it is older than all that is read from the present epoch.
 */
export function revisionOfStaleList(revision: number): number {
  const epoch = Math.max(0, epochOf(revision) - 1);
  return storeRevision(epoch, counterOf(revision));
}

function isIntegerUpTo(value: unknown, max: number): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= max;
}
