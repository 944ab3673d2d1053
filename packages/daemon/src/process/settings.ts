/**
 * The daemon's settings: their schema, defaults and the report of what is wrong
 * with a file.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Decoding from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as setting from "./setting_types.ts";
import { settingFindings } from "./setting_findings.ts";
import type { SettingFinding } from "./setting_findings.ts";

const MIB = 1_048_576;
const HOUR_MS = 3_600_000;
const MANY = 1_000_000;

/** Limits towards callers. */
const LIMITS = {
  bodyBytes: setting.integer(1, 64 * MIB, {
    text: "Largest request body, in bytes. A longer one is refused with 413.",
    default: 8 * MIB,
  }),
  headerBytes: setting.integer(1024, MIB, {
    text:
      "Largest request head, in bytes. A longer one is refused with 431 and the connection is closed.",
    default: 16_384,
  }),
  headerTimeoutMs: setting.integer(1, HOUR_MS, {
    text:
      "Time for a caller to send a whole request head, in milliseconds. A slower one is refused with 408.",
    default: 10_000,
  }),
  bodyTimeoutMs: setting.integer(1, HOUR_MS, {
    text:
      "Time for a caller to send a whole request, in milliseconds. A slower one is refused with 408.",
    default: 30_000,
  }),
  idleCallerMs: setting.integer(1, HOUR_MS, {
    text:
      "Time without a request after which a caller's connection is closed, in milliseconds.",
    default: 60_000,
  }),
  callerWriteTimeoutMs: setting.integer(1, HOUR_MS, {
    text:
      "Time that a caller may take to make room for more of its answer, in milliseconds. A slower one loses its connection, and its engine work is cancelled.",
    default: 20_000,
  }),
  callerBufferBytes: setting.integer(1024, 16 * MIB, {
    text:
      "Bytes of an answer held for a caller that reads slowly. Beyond it the runner's answer is no longer read until the caller has caught up.",
    default: 65_536,
  }),
  connections: setting.integer(1, MANY, {
    text: "Open connections of callers. Further ones are closed at once.",
    default: 10_000,
  }),
  queuedRequests: setting.integer(1, MANY, {
    text:
      "Requests of callers held at once, waiting or being served. Further ones are refused with 503.",
    default: 10_000,
  }),
} as const;

/** Settings of a daemon. */
export const SETTINGS = Schema.Struct({
  name: setting.name("Unique over the deployment; stands in logs and views."),
  region: setting.name("Region of the host."),
  failureDomain: setting.name("Failure domain of the host."),
  listen: Schema.Struct({
    address: setting.address("Address that callers connect to."),
    port: setting.port("Port that callers connect to; 0 lets the system pick."),
  }),
  operators: Schema.Struct({
    address: setting.address("Address of the operators' port."),
    port: setting.port("Operators' port; 0 lets the system pick."),
    token: setting.secret(
      'Token that operators send as "authorization: Bearer TOKEN".',
    ),
  }),
  peers: Schema.Struct({
    address: setting.address("Address that other daemons connect to."),
    port: setting.port(
      "TCP and UDP port that other daemons connect to; 0 lets the system pick.",
    ),
    key: setting.secret("Key that all daemons of the deployment share."),
  }),
  platform: Schema.Struct({
    url: setting.httpUrl("Root of the platform's object API."),
    hostsUrl: setting.optionalHttpUrl(
      "Root of the platform's host list; the object API's root when absent.",
    ),
  }),
  scheduler: setting.choice(["umbermast", "fifo", "random"], {
    text:
      'Order of service. "fifo" and "random" are baselines for measurement.',
    default: "umbermast",
  }),
  limits: Schema.Struct(LIMITS).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed({})),
  ),
  shutdown: Schema.Struct({
    graceMs: setting.integer(0, HOUR_MS, {
      text:
        "Time for requests in flight to end after SIGTERM, in milliseconds. Those left then get a broken end.",
      default: 300_000,
    }),
  }).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
});

/** Settings of a daemon, with the defaults filled in. */
export type Settings = typeof SETTINGS.Type;

/** Limits towards callers. */
export type CallerLimits = Settings["limits"];

/**
 * Checks settings and fills in the defaults.
 *
 * @returns the settings, or everything that is wrong with them.
 *
 * @example
 * ```ts
 * const checked = checkSettings(JSON.parse(text));
 * if (checked.isErr()) {
 *   for (const finding of checked.error) console.error(finding.text);
 * }
 * ```
 */
export function checkSettings(
  value: unknown,
): Result<Settings, readonly SettingFinding[]> {
  const decoded = Schema.decodeUnknownResult(SETTINGS)(value, {
    errors: "all",
    onExcessProperty: "error",
  });
  if (Decoding.isSuccess(decoded)) return ok(decoded.success);
  const issue = decoded.failure.issue;
  return err(settingFindings(issue, { schema: SETTINGS, value }));
}

/** Reads the text of a settings file. */
export function parseSettings(
  text: string,
): Result<Settings, readonly SettingFinding[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.name : "an error";
    return err([{ pointer: "", text: `: expected JSON, got ${reason}` }]);
  }
  return checkSettings(value);
}
