/**
 * Delays.
 *
 * @module
 */

import { timerDelay } from "./timer_delay.ts";

/**
 * Resolves after `ms` milliseconds.
 *
 * @param options with `background`, the timer does not keep the process alive.
 */
export function pause(
  ms: number,
  options: { readonly background?: boolean } = {},
): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timerDelay(ms));
    if (options.background) timer.unref();
  });
}
