/**
 * Transfer codings of HTTP messages.
 *
 * @module
 */

/** As Node's parser reads it: behind the name, no tab may stand. */
const LAST_IS_CHUNKED = /(?:^|,)\s*chunked *$/i;

/**
 * Whether a body with these transfer codings states its end: only as the last one do
 * chunks (RFC 9112, section 6.3). Otherwise it ends with its connection.
 *
 * @param transferEncoding values of all header lines, separated by commas.
 *
 * @example
 * ```ts
 * endsInChunks("gzip, chunked"); // true
 * endsInChunks("chunked, gzip"); // false
 * ```
 */
export function endsInChunks(transferEncoding: string): boolean {
  return LAST_IS_CHUNKED.test(transferEncoding);
}
