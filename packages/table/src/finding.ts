/**
 * Findings: errors found in a table by validation, each with its place.
 *
 * @module
 */

/** One error that validation found. */
export interface Finding {
  /**
   * JSON pointer (RFC 6901) into the value, such as `/rows/3/weight`; row and
   * column for a CSV file.
   */
  readonly place: string;
  /** What is expected, and what was found instead. */
  readonly message: string;
}

/**
 * Returns the JSON pointer for a path, with `~` and `/` escaped.
 *
 * @example
 * ```ts
 * jsonPointer(["rows", 3, "weight"]); // "/rows/3/weight"
 * ```
 */
export function jsonPointer(segments: readonly PropertyKey[]): string {
  return segments.map((segment) => `/${escapeSegment(String(segment))}`).join(
    "",
  );
}

function escapeSegment(segment: string): string {
  return segment.replaceAll("~", "~0").replaceAll("/", "~1");
}
