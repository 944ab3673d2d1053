/**
 * Findings: what is wrong with a table, each with its place.
 *
 * @module
 */

/** One thing that is wrong, and where. */
export interface Finding {
  /** JSON pointer (RFC 6901) into the value, such as `/rows/3/weight`. */
  readonly place: string;
  /** What is there and what is needed. */
  readonly message: string;
}

/**
 * A JSON pointer of path segments, with `~` and `/` escaped.
 *
 * @example
 * ```ts
 * pointer(["rows", 3, "weight"]); // "/rows/3/weight"
 * ```
 */
export function jsonPointer(segments: readonly PropertyKey[]): string {
  return segments.map((segment) => `/${escaped(String(segment))}`).join("");
}

function escaped(segment: string): string {
  return segment.replaceAll("~", "~0").replaceAll("/", "~1");
}
