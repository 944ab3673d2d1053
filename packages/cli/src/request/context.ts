/**
 * What a command works with.
 *
 * @module
 */
import type { Store } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { CliSettings } from "../process/cli_settings.ts";
import { EXIT_CODE } from "../process/exit_codes.ts";
import type { Io } from "../process/io.ts";
import type { Operators } from "../process/operators.ts";
import { failure } from "./report.ts";
import type { CommandFailure } from "./report.ts";

/** What a command works with. */
export interface Context {
  readonly io: Io;
  readonly settings: CliSettings;
  /** Absent when no platform URL is set. */
  readonly store?: Store;
  readonly operators: Operators;
}

/** The platform's store, which the command needs. */
export function storeOf(
  context: Context,
): Effect.Effect<Store, CommandFailure> {
  if (context.store !== undefined) return Effect.succeed(context.store);
  return Effect.fail(failure(EXIT_CODE.usage, {
    code: "platform_url_missing",
    message:
      "Cannot reach the platform: give --platform-url, UMBERMAST_PLATFORM_URL or platformUrl in the settings file",
  }));
}

/** The daemons' operators' ports, of which the command needs one at least. */
export function operatorUrlsOf(
  context: Context,
): Effect.Effect<readonly string[], CommandFailure> {
  const { operatorUrls } = context.settings;
  if (operatorUrls.length > 0) return Effect.succeed(operatorUrls);
  return Effect.fail(failure(EXIT_CODE.usage, {
    code: "operator_url_missing",
    message:
      "Cannot reach a daemon: give --operator-url, UMBERMAST_OPERATOR_URLS or operatorUrls in the settings file",
  }));
}
