/**
 * Schemas of settings, one function for each type of value. Each schema validates
 * its value and describes the accepted values, for validation errors and for the
 * generated settings page.
 *
 * @module
 */
import { isIP } from "node:net";
import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";

/** Description and default of a setting. */
export interface Description<A> {
  /** Purpose, unit and effect, in one or two sentences. */
  readonly text: string;
  /** Value if the key is absent; a setting without a default is required. */
  readonly default?: A;
}

function declareSetting<A>(
  accepts: (value: unknown) => value is A,
  expected: string,
  description: Description<A>,
) {
  return Schema.declare(accepts, {
    expected,
    description: description.text,
  });
}

/** A setting that must be present. */
function required<A>(
  accepts: (value: unknown) => value is A,
  expected: string,
  text: string,
) {
  return declareSetting(accepts, expected, { text });
}

/** A setting that may be absent. */
function optional<A>(
  accepts: (value: unknown) => value is A,
  expected: string,
  description: Description<A> & { readonly default: A },
) {
  return declareSetting(accepts, expected, description).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(description.default)),
  ).annotate({
    description: description.text,
    expected,
    defaultValue: description.default,
  });
}

function integerBetween(from: number, to: number) {
  return (value: unknown): value is number =>
    Number.isInteger(value) && (value as number) >= from &&
    (value as number) <= to;
}

/** An integer with a default. */
export function integer(
  from: number,
  to: number,
  description: Description<number> & { readonly default: number },
) {
  return optional(
    integerBetween(from, to),
    `an integer from ${from} to ${to}`,
    description,
  );
}

const MAX_TIME_LIMIT_MS = 3_600_000;

/** A time limit in milliseconds, up to one hour. */
export function timeLimit(text: string, defaultMs: number) {
  return integer(1, MAX_TIME_LIMIT_MS, { text, default: defaultMs });
}

const MAX_PORT = 65_535;

/** A TCP port; 0 lets the operating system choose one. */
export function port(text: string) {
  return required(
    integerBetween(0, MAX_PORT),
    `an integer from 0 to ${MAX_PORT}`,
    text,
  );
}

function isAddress(value: unknown): value is string {
  return typeof value === "string" && isIP(value) !== 0;
}

/** An IP address. */
export function address(text: string) {
  return required(isAddress, "an IP address", text);
}

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

function isName(value: unknown): value is string {
  return typeof value === "string" && NAME.test(value);
}

/**
 * A name that is valid in logs, metrics and names of stored objects. It starts with
 * a letter or digit.
 */
export function name(text: string) {
  return required(
    isName,
    "a name of 1 to 63 letters, digits, dots, hyphens and underscores",
    text,
  );
}

const MIN_SECRET_LENGTH = 8;

function isSecret(value: unknown): value is string {
  return typeof value === "string" && value.length >= MIN_SECRET_LENGTH;
}

/** A secret; its value never appears in validation errors or logs. */
export function secret(text: string) {
  return required(
    isSecret,
    `a secret of at least ${MIN_SECRET_LENGTH} characters`,
    text,
  );
}

/**
 * Whether a description of accepted values is that of a secret, whose value must not
 * be shown.
 */
export function expectsSecret(expected: string): boolean {
  return expected.startsWith("a secret");
}

function isHttpUrl(value: unknown): value is string {
  if (typeof value !== "string" || !URL.canParse(value)) return false;
  const url = new URL(value);
  return url.protocol === "http:" && url.username === "" && url.search === "";
}

/** The root URL of an HTTP service, without user name or query. */
export function httpUrl(text: string) {
  return required(isHttpUrl, "a URL that starts with http://", text);
}

/** The optional root URL of an HTTP service, without user name or query. */
export function optionalHttpUrl(text: string) {
  return Schema.optionalKey(
    declareSetting(isHttpUrl, "a URL that starts with http://", { text }),
  ).annotate({
    description: text,
    expected: "a URL that starts with http://",
    mayBeAbsent: true,
  });
}

/** One of several words, with a default. */
export function choice<const Word extends string>(
  words: readonly Word[],
  description: Description<Word> & { readonly default: Word },
) {
  const accepts = (value: unknown): value is Word =>
    (words as readonly unknown[]).includes(value);
  const listed = words.map((word) => `"${word}"`).join(", ");
  return optional(accepts, `one of ${listed}`, description);
}

function numberBetween(from: number, to: number) {
  return (value: unknown): value is number =>
    typeof value === "number" && value >= from && value <= to;
}

/** A number with a default. */
export function number(
  from: number,
  to: number,
  description: Description<number> & { readonly default: number },
) {
  return optional(
    numberBetween(from, to),
    `a number from ${from} to ${to}`,
    description,
  );
}

function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** A Boolean; true by default. */
export function flag(text: string) {
  return optional(isBoolean, "true or false", { text, default: true });
}
