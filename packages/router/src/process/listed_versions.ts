/**
 * Reads which runners the store lists now, at the cost of one call as long as the
 * list is almost known.
 *
 * @module
 */
import { FeedError } from "./feed.ts";
import type { Feed } from "./feed.ts";
import type { Runner } from "./runner.ts";
import type { RunnerList } from "./runner_directory.ts";

/** Wait in ms of a watch that only reads what has changed. */
const NO_WAIT_MS = 1;

/**
 * Returns all runners that the store lists now, and those that are known.
 *
 * @param known the list that this daemon has.
 */
export async function readListed(
  feed: Feed<Runner>,
  { revision, runners }: RunnerList,
): Promise<readonly Runner[]> {
  if (revision === 0) return (await feed.list()).values;
  const { signal } = new AbortController();
  try {
    const { updated } = await feed.watch(revision, NO_WAIT_MS, signal);
    return [...runners, ...updated];
  } catch (error) {
    if (!(error instanceof FeedError) || error.kind !== "expired") throw error;
  }
  return [...runners, ...(await feed.list()).values];
}
