/**
 * Waiting.
 *
 * @module
 */

/**
 * Waits.
 *
 * @param options with `background`, the process may end meanwhile.
 */
export function pause(
  ms: number,
  options: { readonly background?: boolean } = {},
): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    if (options.background) timer.unref();
  });
}
