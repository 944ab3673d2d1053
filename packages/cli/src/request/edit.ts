/**
 * The way of every edit: show the difference, ask, apply, wait.
 *
 * @module
 */
import type { Store } from "@umbermast/coordination";
import { applyEdit, mergeChanges, newEditId } from "@umbermast/table";
import type {
  Accepted,
  Change,
  Unchanged,
  VersionedTable,
} from "@umbermast/table";
import * as Effect from "effect/Effect";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { escapeText } from "../process/text.ts";
import { changeLines } from "./change_text.ts";
import { operatorUrlsOf } from "./context.ts";
import type { Context } from "./context.ts";
import { storeFailure } from "./failures.ts";
import { offerVersion } from "./offer.ts";
import { failure } from "./report.ts";
import type { CommandFailure, Report } from "./report.ts";
import { waitInForce } from "./wait.ts";
import type { DaemonVersion, Waited } from "./wait.ts";

/** Flags that all edits take. */
export interface EditFlags {
  /** Apply without asking. */
  readonly yes?: boolean;
  readonly note?: string;
  /** Return once every live daemon has the edit in force. */
  readonly wait?: boolean;
  /** Longest wait, in seconds. */
  readonly waitTimeout?: number;
  /** How long to go on while the platform cannot be reached, in seconds. */
  readonly timeout?: number;
  /** Show the difference and stop. */
  readonly dryRun?: boolean;
  readonly json?: boolean;
}

/** What to edit. */
export interface EditRequest {
  readonly store: Store;
  /** The version that the changes were made from. */
  readonly read: VersionedTable;
  readonly changes: readonly Change[];
  /** Used when the operator gave no note. */
  readonly note?: string;
}

const DEFAULT_WAIT_SECONDS = 30;
const DEFAULT_TIMEOUT_SECONDS = 10;

/** Shows the difference, asks, applies the edit and waits, as the flags say. */
export function runEdit(
  context: Context,
  request: EditRequest,
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const { store, read } = request;
    // Without a daemon to ask, "in force everywhere" would be said of none.
    if (flags.wait === true) yield* operatorUrlsOf(context);
    const merged = mergeChanges(read.stored.table, request.changes);
    if (merged.isErr()) return yield* Effect.fail(storeFailure(merged.error));
    const { changes } = merged.value;
    if (changes.length === 0) return unchanged(read.version);
    const lines = changeLines(changes);
    if (flags.dryRun === true) return dryRun(changes, lines);
    yield* confirm(context, lines, flags);
    const editId = newEditId(read.stored.sequence);
    // Known before the write, so that it can be resolved if this process ends.
    context.io.error(`Edit ${editId}\n`);
    const note = flags.note ?? request.note;
    const outcome = yield* Effect.mapError(
      applyEdit(store, {
        editId,
        editor: context.settings.editor,
        at: Date.now(),
        ...(note === undefined ? {} : { note }),
        baseSequence: read.stored.sequence,
        changes,
      }, { retryTimeoutMs: (flags.timeout ?? DEFAULT_TIMEOUT_SECONDS) * 1000 }),
      (error) => storeFailure(error, editId),
    );
    if (outcome._tag === "Unchanged") return unchanged(outcome.version);
    const { operatorUrls } = context.settings;
    yield* offerVersion(context.operators, operatorUrls, outcome);
    return yield* acceptedReport(context, outcome, flags);
  });
}

/** Shows the difference and asks, unless the flags say not to. */
export function confirm(
  context: Context,
  lines: readonly string[],
  flags: EditFlags,
): Effect.Effect<void, CommandFailure> {
  return Effect.gen(function* () {
    if (flags.yes === true) return;
    context.io.error(`${lines.join("\n")}\n`);
    if (!context.io.interactive) {
      return yield* Effect.fail(failure(EXIT_CODE.usage, {
        code: "confirmation_missing",
        message: "Cannot ask for confirmation here: give --yes",
      }));
    }
    const count = lines.length === 1
      ? "this change"
      : `${lines.length} changes`;
    const agreed = yield* Effect.promise(() =>
      context.io.confirm(`Apply ${count}? [y/N] `)
    );
    if (agreed) return;
    return yield* Effect.fail(failure(EXIT_CODE.failure, {
      code: "not_confirmed",
      message: "Nothing was changed",
    }));
  });
}

function unchanged(version: Unchanged["version"]): Report {
  return {
    text: `No change: the table is as wanted at version ${version}`,
    json: { accepted: false, changed: false, version, changes: [] },
  };
}

/** What would change, when nothing is to be changed. */
export function dryRun(
  changes: readonly Change[],
  lines: readonly string[],
): Report {
  return {
    text: lines.join("\n"),
    json: { accepted: false, dryRun: true, changes },
  };
}

function acceptedReport(
  context: Context,
  { version, entry }: Accepted,
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const { editId, changes } = entry;
    const accepted = { accepted: true, editId, version, changes };
    const lines = [
      ...changeLines(changes),
      `Accepted as ${editId} at version ${version}`,
    ];
    if (flags.wait !== true) return { text: lines.join("\n"), json: accepted };
    const seconds = flags.waitTimeout ?? DEFAULT_WAIT_SECONDS;
    const waited = yield* waitInForce(context, {
      version,
      timeoutMs: seconds * 1000,
    });
    return {
      text: [...lines, ...waitLines(waited)].join("\n"),
      json: { ...accepted, ...waited },
      exit: waited.behind.length === 0 ? EXIT_CODE.ok : EXIT_CODE.failure,
    };
  });
}

function waitLines({ inForce, behind }: Waited): readonly string[] {
  const count = inForce.length === 1 ? "1 daemon" : `${inForce.length} daemons`;
  if (behind.length === 0) return [`In force at ${count}, all that are live`];
  return [
    `In force at ${count}, but not at:`,
    ...behind.map((daemon) => `  ${behindLine(daemon)}`),
  ];
}

function behindLine({ name, url, version, reason }: DaemonVersion): string {
  const who = [name, url].filter((part) => part !== undefined).join(" ");
  return escapeText(`${who}: ${reason ?? `version ${version}`}`);
}
