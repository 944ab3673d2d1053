/**
 * Adapter from Effect schemas to results with findings.
 *
 * @internal
 * @module
 */
import * as Cause from "effect/Cause";
import * as Exit from "effect/Exit";
import * as Schema from "effect/Schema";
import * as SchemaIssue from "effect/SchemaIssue";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { jsonPointer } from "./finding.ts";
import type { Finding } from "./finding.ts";

const format = SchemaIssue.makeFormatterStandardSchemaV1();

/** Returns a function that validates a value and reports all findings. */
export function decoderOf<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
): (value: unknown) => Result<S["Type"], readonly Finding[]> {
  const decode = Schema.decodeUnknownExit(schema, {
    errors: "all",
    onExcessProperty: "error",
  });
  return (value) => {
    const exit = decode(value);
    if (Exit.isSuccess(exit)) return ok(exit.value);
    const error = Cause.squash(exit.cause);
    if (!Schema.isSchemaError(error)) throw error;
    return err(findingsOf(error.issue, value));
  };
}

function findingsOf(
  issue: SchemaIssue.Issue,
  value: unknown,
): readonly Finding[] {
  // A number may fail several checks at once; only the first is reported.
  const findings = new Map<string, Finding>();
  for (const { message, path } of format(issue).issues) {
    const segments = (path ?? []).map((segment) =>
      typeof segment === "object" ? segment.key : segment
    );
    const place = jsonPointer(segments);
    if (findings.has(place)) continue;
    findings.set(place, {
      place,
      message: `${message}${describeActual(value, segments)}`,
    });
  }
  return [...findings.values()];
}

function describeActual(
  value: unknown,
  segments: readonly PropertyKey[],
): string {
  const actual = valueAt(value, segments);
  return actual === undefined ? "" : `, got ${abbreviate(actual)}`;
}

function valueAt(value: unknown, segments: readonly PropertyKey[]): unknown {
  let current = value;
  for (const segment of segments) {
    if (typeof current !== "object" || current === null) return undefined;
    current = Reflect.get(current, segment);
  }
  return current;
}

/** Length in characters above which a value is truncated in a message. */
const MAX_VALUE_CHARS = 60;

function abbreviate(value: unknown): string {
  // JSON cannot represent NaN and infinities, and would show them as null.
  const text = typeof value === "number"
    ? String(value)
    : JSON.stringify(value) ?? String(value);
  return text.length <= MAX_VALUE_CHARS
    ? text
    : `${text.slice(0, MAX_VALUE_CHARS)}...`;
}
