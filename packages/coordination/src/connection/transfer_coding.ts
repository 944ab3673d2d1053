/**
 * Transfer codings of HTTP messages.
 *
 * @module
 */

const LAST_IS_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Whether a body with these transfer codings states its end: only as the last one do
 * chunks (RFC 9112, section 6.3). Otherwise it ends with its connection.
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
