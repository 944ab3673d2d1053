/**
 * Findings of the validation of settings: one line each, with the location as a
 * JSON pointer.
 *
 * @module
 */
import * as Schema from "effect/Schema";
import * as SchemaIssue from "effect/SchemaIssue";
import { expectsSecret } from "./setting_types.ts";

/** One error in the settings. */
export interface SettingFinding {
  /** JSON pointer (RFC 6901) of the value; empty for the whole file. */
  readonly pointer: string;
  /** Pointer, expected value and actual value, on one line. */
  readonly text: string;
}

type Path = readonly PropertyKey[];

const UNKNOWN_KEY = "no such setting";
const MISSING = "missing";
const MAX_SHOWN_LENGTH = 80;

/** Formats a path as a JSON pointer. */
function pointerOf(path: Path): string {
  return path
    .map((key) => String(key).replaceAll("~", "~0").replaceAll("/", "~1"))
    .map((key) => `/${key}`)
    .join("");
}

function valueAt(root: unknown, path: Path): unknown {
  let value = root;
  for (const key of path) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}

/** Formats a value for operators, on one line of bounded length. */
function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (Array.isArray(value)) return "an array";
  if (typeof value === "object" && value !== null) return "an object";
  const text = JSON.stringify(value);
  if (text.length <= MAX_SHOWN_LENGTH) return text;
  return `${text.slice(0, MAX_SHOWN_LENGTH)}...`;
}

/** The schema at a path through nested sections. */
function schemaAt(root: Schema.Top, path: Path): Schema.Top | undefined {
  let schema: unknown = root;
  for (const key of path) {
    const fields = fieldsOf(schema);
    schema = fields?.[String(key)];
    if (schema === undefined) return undefined;
  }
  return schema as Schema.Top;
}

/** Fields of a section, including sections that have a default or are optional. */
export function fieldsOf(
  schema: unknown,
): Readonly<Record<string, Schema.Top>> | undefined {
  const section = schema as {
    readonly fields?: Readonly<Record<string, Schema.Top>>;
    readonly to?: unknown;
    readonly schema?: unknown;
  };
  if (section.fields !== undefined) return section.fields;
  const inner = section.to ?? section.schema;
  return inner === undefined ? undefined : fieldsOf(inner);
}

/** Description of the values that a setting accepts. */
export function expectationOf(schema: Schema.Top | undefined): string {
  const annotations = schema === undefined
    ? undefined
    : Schema.resolveAnnotations(schema);
  const expected = annotations?.["expected"];
  return typeof expected === "string" ? expected : "an object";
}

function leafHook(issue: SchemaIssue.Leaf): string {
  if (issue._tag === "UnexpectedKey") return UNKNOWN_KEY;
  if (issue._tag === "MissingKey") return MISSING;
  return "";
}

const format = SchemaIssue.makeFormatterStandardSchemaV1({ leafHook });

function pathOf(
  path: readonly (PropertyKey | { readonly key: PropertyKey })[] | undefined,
): Path {
  return (path ?? []).map((part) => typeof part === "object" ? part.key : part);
}

function finding(
  path: Path,
  options: {
    readonly message: string;
    readonly schema: Schema.Top;
    readonly value: unknown;
  },
): SettingFinding {
  const pointer = pointerOf(path);
  if (options.message === UNKNOWN_KEY) {
    return { pointer, text: `${pointer}: ${UNKNOWN_KEY}` };
  }
  const expected = expectationOf(schemaAt(options.schema, path));
  const value = valueAt(options.value, path);
  // A mistyped secret reveals most of the secret, so its value is not reported.
  const hidden = expectsSecret(expected) && value !== undefined;
  const received = hidden ? "a value that is not shown" : formatValue(value);
  return { pointer, text: `${pointer}: expected ${expected}, got ${received}` };
}

/** Converts a schema issue into findings, one per location. */
export function settingFindings(
  issue: SchemaIssue.Issue,
  options: { readonly schema: Schema.Top; readonly value: unknown },
): readonly SettingFinding[] {
  return format(issue).issues.map(({ path, message }) =>
    finding(pathOf(path), { ...options, message })
  );
}
