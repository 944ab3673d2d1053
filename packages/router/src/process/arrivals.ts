/**
 * Waits until the event loop has handled what has arrived.
 *
 * @module
 */

/**
 * Resolves when what had arrived on connections is handled, also the end of one that
 * is reported a turn later. After a stall of this process its timers run first: a
 * connection that was reset meanwhile would still look open to them.
 */
export async function arrivalsHandled(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
