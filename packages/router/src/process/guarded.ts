/**
 * Listeners whose errors do not end the process.
 *
 * @module
 */

/**
 * Returns a listener that passes on what it throws: an error that a listener of an
 * event throws ends the process, and with it the requests of all callers.
 *
 * @param onError called with what the listener throws.
 * @example
 * socket.on("data", guarded((chunk) => parse(chunk), reject));
 */
export function guarded<Args extends readonly unknown[]>(
  listener: (...args: Args) => void,
  onError: (error: unknown) => void,
): (...args: Args) => void {
  return (...args) => {
    try {
      listener(...args);
    } catch (error) {
      onError(error);
    }
  };
}
