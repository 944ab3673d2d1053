/**
 * Failures of the store and of edits, as a command reports them.
 *
 * @module
 */
import type { Unavailable } from "@umbermast/coordination";
import type {
  EditFailure,
  EditNotFound,
  Finding,
  TableExists,
} from "@umbermast/table";
import * as Effect from "effect/Effect";
import type { Result } from "neverthrow";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { escapeText } from "../process/text.ts";
import { conflictLines } from "./change_text.ts";
import { failure } from "./report.ts";
import type { CommandFailure } from "./report.ts";

/** Turns any failure of the table's functions into one of a command. */
export function storeFailure(
  error: EditFailure | EditNotFound | TableExists | Unavailable,
  editId?: string,
): CommandFailure {
  switch (error._tag) {
    case "EditConflict":
      return failure(EXIT_CODE.conflict, {
        code: "edit_conflict",
        message:
          "Someone else has changed the same entry; nothing was changed. Read the table again and repeat the edit if it is still wanted",
        details: conflictLines(error.conflicts),
        data: { conflicts: error.conflicts },
      });
    case "EditInvalid":
      return invalid("Cannot accept the edit", error.findings);
    case "StoredInvalid":
      return invalid(
        `Cannot read the stored table, version ${error.version}`,
        error.findings,
      );
    case "UnknownWhetherAccepted":
      return unknown(error.reason, editId);
    case "NotAccepted":
    case "Unavailable":
      return failure(EXIT_CODE.unreachable, {
        code: "platform_unreachable",
        message: `Cannot use the platform: ${
          escapeText(error.reason)
        }. Nothing was changed`,
      });
    case "EditClosed":
      return failure(EXIT_CODE.conflict, {
        code: "edit_closed",
        message:
          `The edit was resolved as not accepted by "${error.entry.editor}"; repeat it as a new edit`,
        data: { entry: error.entry },
      });
    case "TooLarge":
      return failure(EXIT_CODE.failure, {
        code: "table_too_large",
        message:
          `Cannot store ${error.bytes} bytes: ${error.limitBytes} is the limit. Make the edit in smaller parts`,
        data: { bytes: error.bytes, limitBytes: error.limitBytes },
      });
    case "TableMissing":
      return failure(EXIT_CODE.failure, {
        code: "table_missing",
        message:
          'The platform has no table yet; write the first with "table import FILE.json"',
      });
    case "TableExists":
      return failure(EXIT_CODE.conflict, {
        code: "table_exists",
        message:
          `Someone else has written the first table, version ${error.version}`,
      });
    case "HistoryMissing":
      return failure(EXIT_CODE.failure, {
        code: "history_missing",
        message:
          `Cannot search the history: the page that ends with edit ${error.sequence} is gone`,
      });
    case "EditNotFound":
      return failure(EXIT_CODE.failure, {
        code: "edit_not_found",
        message: `The history has no edit "${escapeText(error.editId)}"`,
      });
  }
}

/** The value, or what is wrong with the operator's input. */
export function orInputFailure<A>(
  result: Result<A, readonly Finding[]>,
  what: string,
): Effect.Effect<A, CommandFailure> {
  return result.isOk() ? Effect.succeed(result.value) : Effect.fail(
    inputFailure(`Cannot accept ${escapeText(what)}`, result.error),
  );
}

/** Findings of input that the operator gave. */
export function inputFailure(
  message: string,
  findings: readonly Finding[],
): CommandFailure {
  return { ...invalid(message, findings), exit: EXIT_CODE.usage };
}

function invalid(
  message: string,
  findings: readonly Finding[],
): CommandFailure {
  return failure(EXIT_CODE.failure, {
    code: "table_invalid",
    message: `${message}: ${findings.length} finding${
      findings.length === 1 ? "" : "s"
    }`,
    details: findings.map((finding) =>
      escapeText(`${finding.place}: ${finding.message}`)
    ),
    data: { findings },
  });
}

function unknown(reason: string, editId: string | undefined): CommandFailure {
  return failure(EXIT_CODE.unknown, {
    code: "edit_unknown",
    message:
      `It is unknown whether the edit was accepted: the platform could not be reached afterwards (${
        escapeText(reason)
      })`,
    details: [`Resolve it with: umbermastctl table resolve ${editId}`],
    data: { editId },
  });
}
