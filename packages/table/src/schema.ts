/**
 * The table's schema: the shape and range of each field. References between
 * entries are checked in `references.ts`.
 *
 * @module
 */
import * as Schema from "effect/Schema";
import type { Result } from "neverthrow";
import { decoderOf } from "./decode.ts";
import type { Finding } from "./finding.ts";
import type { Table } from "./table.ts";

/** Highest tier number, that is, the lowest priority of a class. */
export const MAX_TIER = 31;

const NAME = Schema.String.check(
  Schema.isPattern(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, {
    expected:
      'a name of 1 to 64 letters, digits, ".", "_" or "-" that starts with a letter or digit',
  }),
);
const MODEL = Schema.String.check(
  Schema.isPattern(/^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$/, {
    expected: "a model name of 1 to 128 characters without spaces",
  }),
);
const KEY_DIGEST = Schema.String.check(
  Schema.isPattern(/^[0-9a-f]{64}$/, {
    expected: "a SHA-256 digest of 64 lower-case hexadecimal digits",
  }),
);
const POSITIVE = Schema.Finite.check(
  Schema.isGreaterThan(0, { expected: "a number greater than 0" }),
);
const POSITIVE_INTEGER = Schema.Int.check(
  Schema.isGreaterThan(0, { expected: "an integer greater than 0" }),
);
const TIER = Schema.Int.check(
  Schema.isBetween({ minimum: 0, maximum: MAX_TIER }, {
    expected: `an integer from 0 to ${MAX_TIER}`,
  }),
);
const SHARE = Schema.Finite.check(
  Schema.isBetween({ minimum: 0, maximum: 1 }, {
    expected: "a number from 0 to 1",
  }),
);

const LATENCY_TARGET = Schema.Struct({
  firstTokenMs: Schema.optionalKey(POSITIVE),
  betweenTokensMs: Schema.optionalKey(POSITIVE),
  wholeAnswerMs: Schema.optionalKey(POSITIVE),
});

const CLASS = Schema.Struct({
  name: NAME,
  tier: TIER,
  target: LATENCY_TARGET,
  timeoutMs: POSITIVE,
  minimumShare: SHARE,
});

const WORKSPACE = Schema.Struct({
  name: NAME,
  keyDigests: Schema.Array(KEY_DIGEST),
  defaultClass: NAME,
});

const ROW = Schema.Struct({
  workspace: NAME,
  class: NAME,
  weight: POSITIVE,
  requestsPerSecond: Schema.optionalKey(POSITIVE),
  tokensPerSecond: Schema.optionalKey(POSITIVE),
  inFlight: Schema.optionalKey(POSITIVE_INTEGER),
});

const SERVICE = Schema.Struct({
  name: NAME,
  kind: Schema.Literals(["model", "plain"]),
  models: Schema.Array(MODEL),
  checksFencing: Schema.Boolean,
  slotsPerRunner: POSITIVE_INTEGER,
});

const TABLE = Schema.Struct({
  classes: Schema.Array(CLASS),
  workspaces: Schema.Array(WORKSPACE),
  rows: Schema.Array(ROW),
  services: Schema.Array(SERVICE),
});

/**
 * Checks the shape and range of each field, without references between entries.
 * Reports all findings, not only the first.
 *
 * @internal
 */
export const decodeTable: (
  value: unknown,
) => Result<Table, readonly Finding[]> = decoderOf(TABLE);
