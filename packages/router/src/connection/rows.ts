/**
 * Rows of flat arrays, in which messages carry lists of small records.
 *
 * @module
 */

/**
 * Splits a flat array into rows of `length` fields; ignores an incomplete row at
 * the end.
 */
export function rowsOf<Field>(
  fields: readonly Field[],
  length: number,
): readonly (readonly Field[])[] {
  const rows = [];
  for (let start = 0; start + length <= fields.length; start += length) {
    rows.push(fields.slice(start, start + length));
  }
  return rows;
}
