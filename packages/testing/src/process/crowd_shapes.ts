/**
 * What clients outside the limits send: bodies that do not end, and requests sent
 * ahead.
 *
 * @module
 */

/** Pieces of about this size are written at a time. */
const PIECE_BYTES = 32 * 1024;
const LINE_END = "\r\n";

/** Repeats a text that may differ each time, joined to pieces. */
export function* repeated(
  count: number,
  text: (index: number) => string,
): Generator<string> {
  let piece = "";
  for (let index = 0; index < count; index++) {
    piece += text(index);
    if (piece.length < PIECE_BYTES) continue;
    yield piece;
    piece = "";
  }
  if (piece !== "") yield piece;
}

/** Returns the head of a request. */
export function requestHead(
  start: string,
  headers: Readonly<Record<string, string | number>>,
): string {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}`
  );
  return [`${start} HTTP/1.1`, ...lines, "", ""].join(LINE_END);
}

/**
 * A request whose body comes in chunks and never ends.
 *
 * @param options.extension what stands behind the size of each chunk.
 */
export function* openBody(head: string, options: {
  readonly chunks: number;
  readonly chunkBytes: number;
  readonly extension?: string;
}): Generator<string> {
  const { chunks, chunkBytes, extension = "" } = options;
  const size = `${chunkBytes.toString(16)}${extension}${LINE_END}`;
  const chunk = `${size}${"x".repeat(chunkBytes)}${LINE_END}`;
  yield head;
  yield* repeated(chunks, () => chunk);
}
