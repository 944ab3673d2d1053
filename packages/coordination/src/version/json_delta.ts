/**
 * Computes and applies the difference between two JSON values.
 *
 * @module
 */

/** A JSON value. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [key: string]: Json };

/** The difference between two JSON values. */
export type JsonDelta =
  /** The values are equal. */
  | { readonly op: "same" }
  /** The value is replaced. */
  | { readonly op: "set"; readonly value: Json }
  /**
   * The items of a list after the first `head` and before the last `tail` are
   * replaced.
   */
  | {
    readonly op: "splice";
    readonly head: number;
    readonly tail: number;
    readonly items: readonly Json[];
  }
  /**
   * Some fields of an object are changed, added or removed. `changed` holds a
   * delta for each changed or added field.
   */
  | {
    readonly op: "fields";
    readonly changed: { readonly [key: string]: JsonDelta };
    readonly removed: readonly string[];
  };

/**
 * Thrown when a delta cannot be applied to a value, because the value has another
 * type or is a list that is too short. Other differences are not detected.
 */
export class DeltaMismatch extends Error {
  override readonly name = "DeltaMismatch";
}

/**
 * Computes the delta that changes `from` into `to`.
 *
 * @example
 * ```ts
 * const delta = makeDelta([1, 2, 3], [1, 9, 3]);
 * applyDelta([1, 2, 3], delta); // [1, 9, 3]
 * ```
 */
export function makeDelta(from: Json, to: Json): JsonDelta {
  if (equal(from, to)) return { op: "same" };
  if (isList(from) && isList(to)) return makeSplice(from, to);
  if (isJsonObject(from) && isJsonObject(to)) return makeFields(from, to);
  return { op: "set", value: to };
}

/**
 * Applies a delta to a value.
 *
 * @throws {DeltaMismatch} if the value has another type or is a list that is too
 * short.
 */
export function applyDelta(from: Json, delta: JsonDelta): Json {
  switch (delta.op) {
    case "same":
      return from;
    case "set":
      return delta.value;
    case "splice":
      return applySplice(from, delta);
    case "fields":
      return applyFields(from, delta);
  }
}

/**
 * Returns a delta that replaces the items from the first that differs to the last
 * that differs.
 */
function makeSplice(from: readonly Json[], to: readonly Json[]): JsonDelta {
  const shorter = Math.min(from.length, to.length);
  let head = 0;
  while (head < shorter && equal(from[head], to[head])) head += 1;
  let tail = 0;
  while (tail < shorter - head && equal(from.at(-1 - tail), to.at(-1 - tail))) {
    tail += 1;
  }
  return { op: "splice", head, tail, items: to.slice(head, to.length - tail) };
}

function makeFields(from: JsonObject, to: JsonObject): JsonDelta {
  const changed: Record<string, JsonDelta> = {};
  for (const [key, value] of Object.entries(to)) {
    const before = Object.hasOwn(from, key) ? from[key] : undefined;
    const delta: JsonDelta = before === undefined
      ? { op: "set", value }
      : makeDelta(before, value);
    if (delta.op !== "same") defineField(changed, key, delta);
  }
  const removed = Object.keys(from).filter((key) => !Object.hasOwn(to, key));
  return { op: "fields", changed, removed };
}

function applySplice(
  from: Json,
  delta: JsonDelta & { readonly op: "splice" },
): Json {
  const { head, tail, items } = delta;
  if (!isList(from) || from.length < head + tail) {
    throw new DeltaMismatch(
      "Cannot apply delta: the value is not a list or is too short",
    );
  }
  return [
    ...from.slice(0, head),
    ...items,
    ...from.slice(from.length - tail),
  ];
}

function applyFields(
  from: Json,
  delta: JsonDelta & { readonly op: "fields" },
): Json {
  if (!isJsonObject(from)) {
    throw new DeltaMismatch("Cannot apply delta: the value is not an object");
  }
  const removed = new Set(delta.removed);
  const next: Record<string, Json> = {};
  for (const [key, value] of Object.entries(from)) {
    if (!removed.has(key)) defineField(next, key, value);
  }
  for (const [key, change] of Object.entries(delta.changed)) {
    const before = Object.hasOwn(from, key) ? from[key] : undefined;
    // The delta of an added field is a "set", which does not use `before`.
    defineField(next, key, applyDelta(before ?? null, change));
  }
  return next;
}

/** Sets an own property, even if its key is `__proto__`. */
function defineField<T>(
  object: Record<string, T>,
  key: string,
  value: T,
): void {
  Object.defineProperty(object, key, {
    value,
    enumerable: true,
    configurable: true,
    writable: true,
  });
}

type JsonObject = { readonly [key: string]: Json };

function isList(value: Json): value is readonly Json[] {
  return Array.isArray(value);
}

function isJsonObject(value: Json): value is JsonObject {
  return typeof value === "object" && value !== null && !isList(value);
}

function equal(a: Json | undefined, b: Json | undefined): boolean {
  if (a === b) return true;
  if (a === undefined || b === undefined) return false;
  if (isList(a)) {
    return isList(b) && a.length === b.length &&
      a.every((item, index) => equal(item, b[index]));
  }
  if (!isJsonObject(a) || !isJsonObject(b)) return false;
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => Object.hasOwn(b, key) && equal(a[key], b[key]));
}
