/**
 * Calls listeners so that none can stop the caller or the others.
 *
 * @module
 */

/**
 * Calls each listener with the value. One that throws neither keeps the value
 * from the others nor ends the fibre that follows it.
 */
export function notifyListeners<T>(
  listeners: Iterable<(value: T) => void>,
  value: T,
  options: { readonly onFault: (error: unknown) => void },
): void {
  for (const listener of [...listeners]) {
    try {
      listener(value);
    } catch (error) {
      options.onFault(error);
    }
  }
}
