/**
 * Settings of a stand-in: given values over defaults, all faults reported at once.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";

/** One fault of the settings, with its place. */
export interface ConfigFinding {
  /** Place in the document, such as `/maxBatch`. */
  readonly path: string;
  readonly message: string;
}

function kindOf(value: unknown): string {
  return Array.isArray(value)
    ? "array"
    : value === null
    ? "null"
    : typeof value;
}

/**
 * Lays given settings over defaults. Each key must exist in the defaults and
 * hold a value of the same kind.
 */
export function readConfig<T extends object>(
  defaults: T,
  given: unknown,
): Result<T, readonly ConfigFinding[]> {
  if (kindOf(given) !== "object") {
    const message = `expected an object, got ${kindOf(given)}`;
    return err([{ path: "/", message }]);
  }
  const findings: ConfigFinding[] = [];
  const known = new Map<string, unknown>(Object.entries(defaults));
  for (const [key, value] of Object.entries(given as object)) {
    const path = `/${key}`;
    if (!known.has(key)) {
      findings.push({ path, message: "unknown setting" });
      continue;
    }
    const expected = kindOf(known.get(key));
    const actual = kindOf(value);
    if (actual === expected) continue;
    findings.push({ path, message: `expected ${expected}, got ${actual}` });
  }
  if (findings.length > 0) return err(findings);
  return ok({ ...defaults, ...(given as Partial<T>) });
}
