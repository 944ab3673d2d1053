/**
 * Settings of `umbermastctl`: flags go before environment variables, these
 * before the settings file.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import * as Exit from "effect/Exit";
import * as Schema from "effect/Schema";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Where to reach what a command needs. */
export interface CliSettings {
  /** Roots of the daemons' operators' ports. */
  readonly operatorUrls: readonly string[];
  readonly operatorToken?: string;
  /** Root of the platform's object API. */
  readonly platformUrl?: string;
  /** Name of the operator, as the history keeps it. */
  readonly editor: string;
}

/** Settings given as flags. */
export interface CliFlags {
  readonly config?: string;
  readonly operatorUrl?: readonly string[];
  readonly operatorToken?: string;
  readonly platformUrl?: string;
  readonly editor?: string;
}

const FILE = Schema.Struct({
  operatorUrls: Schema.optionalKey(Schema.Array(Schema.String)),
  operatorToken: Schema.optionalKey(Schema.String),
  platformUrl: Schema.optionalKey(Schema.String),
  editor: Schema.optionalKey(Schema.String),
});

type FileSettings = typeof FILE.Type;

const decodeFile = Schema.decodeUnknownExit(FILE, {
  errors: "all",
  onExcessProperty: "error",
});

/**
 * Puts the settings together.
 *
 * @returns the settings, or everything that is wrong with them.
 */
export function cliSettings(
  flags: CliFlags,
  env: Readonly<Record<string, string | undefined>>,
): Result<CliSettings, readonly string[]> {
  const path = flags.config ?? env["UMBERMAST_CONFIG"];
  return readSettings(path).andThen((file) => {
    const settings = merged(flags, env, file);
    const findings = urlFindings(settings);
    return findings.length === 0 ? ok(settings) : err(findings);
  });
}

function merged(
  flags: CliFlags,
  env: Readonly<Record<string, string | undefined>>,
  file: FileSettings,
): CliSettings {
  const operatorToken = flags.operatorToken ??
    env["UMBERMAST_OPERATOR_TOKEN"] ?? file.operatorToken;
  const platformUrl = flags.platformUrl ?? env["UMBERMAST_PLATFORM_URL"] ??
    file.platformUrl;
  return {
    operatorUrls: flags.operatorUrl ??
      env["UMBERMAST_OPERATOR_URLS"]?.split(",").map((url) => url.trim()) ??
      file.operatorUrls ?? [],
    ...(operatorToken === undefined ? {} : { operatorToken }),
    ...(platformUrl === undefined ? {} : { platformUrl }),
    editor: flags.editor ?? env["UMBERMAST_EDITOR"] ?? file.editor ??
      userInfo().username,
  };
}

function readSettings(
  path: string | undefined,
): Result<FileSettings, readonly string[]> {
  if (path === undefined) return ok({});
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(path, "utf8"));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err([`Cannot read settings "${path}": ${reason}`]);
  }
  const exit = decodeFile(value);
  if (Exit.isSuccess(exit)) return ok(exit.value);
  return err([`Cannot read settings "${path}": ${String(exit.cause)}`]);
}

function urlFindings(settings: CliSettings): readonly string[] {
  const urls = [
    ...settings.operatorUrls,
    ...(settings.platformUrl === undefined ? [] : [settings.platformUrl]),
  ];
  return urls.filter((url) => !isHttp(url)).map((url) =>
    `Expected an http URL, got ${JSON.stringify(url)}`
  );
}

function isHttp(url: string): boolean {
  return URL.canParse(url) && new URL(url).protocol === "http:";
}
