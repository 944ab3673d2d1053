/**
 * Grouping of lists.
 *
 * @module
 */

/**
 * Groups items by a key.
 *
 * @example
 * ```ts
 * const byLength = groupBy(["a", "b", "cc"], (text) => text.length);
 * ```
 */
export function groupBy<K, V>(
  items: readonly V[],
  keyOf: (item: V) => K,
): Map<K, V[]> {
  const groups = new Map<K, V[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
