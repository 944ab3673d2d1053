/**
 * The daemon's settings: schema, defaults and validation.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as DecodeResult from "effect/Result";
import * as Schema from "effect/Schema";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as setting from "./setting_types.ts";
import {
  ATTEMPT_LIMITS,
  CALLER_LIMITS,
  PLACEMENT,
  RETRY_LIMITS,
  SCHEDULING,
  SHUTDOWN,
  SWITCHES,
} from "./settings_limits.ts";
import { CLAIMS } from "./settings_claims.ts";
import { settingFindings } from "./setting_findings.ts";
import type { SettingFinding } from "./setting_findings.ts";

const NO_SETTINGS = Effect.succeed({});

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
    // Absent if the address that other daemons connect to is the one to listen on.
    listen: Schema.optionalKey(Schema.Struct({
      address: setting.address(
        "Address to listen on, where other daemons come through address translation. `/peers/listen` may be absent.",
      ),
      port: setting.port(
        "TCP and UDP port to listen on; 0 lets the system pick.",
      ),
    })),
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
  scheduling: Schema.Struct({
    ...SCHEDULING,
    switches: Schema.Struct(SWITCHES).pipe(
      Schema.withDecodingDefaultKey(NO_SETTINGS),
    ),
  }).pipe(Schema.withDecodingDefaultKey(NO_SETTINGS)),
  limits: Schema.Struct(CALLER_LIMITS).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
  attempts: Schema.Struct(ATTEMPT_LIMITS).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
  retries: Schema.Struct(RETRY_LIMITS).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
  claims: Schema.Struct(CLAIMS).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
  placement: Schema.Struct(PLACEMENT).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
  shutdown: Schema.Struct(SHUTDOWN).pipe(
    Schema.withDecodingDefaultKey(NO_SETTINGS),
  ),
});

/** Settings of a daemon, with the defaults filled in. */
export type Settings = typeof SETTINGS.Type;

/** Limits that apply to callers. */
export type CallerLimits = Settings["limits"];

/**
 * Validates settings and fills in the defaults.
 *
 * @returns the settings, or all findings.
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
  if (DecodeResult.isSuccess(decoded)) return ok(decoded.success);
  const issue = decoded.failure.issue;
  return err(settingFindings(issue, { schema: SETTINGS, value }));
}

/** Parses and validates the text of a settings file. */
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
