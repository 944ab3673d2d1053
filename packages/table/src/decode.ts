/**
 * The adapter from schemas to results with findings.
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

/** A function that checks a value and reports every finding. */
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
  // A number may fail several checks at once; the first says what is needed.
  const found = new Map<string, Finding>();
  for (const { message, path } of format(issue).issues) {
    const segments = (path ?? []).map((segment) =>
      typeof segment === "object" ? segment.key : segment
    );
    const place = jsonPointer(segments);
    if (found.has(place)) continue;
    found.set(place, {
      place,
      message: `${message}${gotten(value, segments)}`,
    });
  }
  return [...found.values()];
}

function gotten(value: unknown, segments: readonly PropertyKey[]): string {
  const found = valueAt(value, segments);
  return found === undefined ? "" : `, got ${shortly(found)}`;
}

function valueAt(value: unknown, segments: readonly PropertyKey[]): unknown {
  let at = value;
  for (const segment of segments) {
    if (typeof at !== "object" || at === null) return undefined;
    at = Reflect.get(at, segment);
  }
  return at;
}

const SHOWN_LENGTH = 60;

function shortly(value: unknown): string {
  // JSON has no word for some numbers and would show them as null.
  const text = typeof value === "number"
    ? String(value)
    : JSON.stringify(value) ?? String(value);
  return text.length <= SHOWN_LENGTH
    ? text
    : `${text.slice(0, SHOWN_LENGTH)}...`;
}
