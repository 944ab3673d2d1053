/**
 * Commands that ask the daemons: status, runners, daemons, why.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import { EXIT_CODE } from "../process/exit_codes.ts";
import type { OperatorFailure } from "../process/operators.ts";
import { alignedTable, escapeText } from "../process/text.ts";
import type { Cell } from "../process/text.ts";
import { operatorUrlsOf } from "./context.ts";
import type { Context } from "./context.ts";
import { failure } from "./report.ts";
import type { CommandFailure, Report } from "./report.ts";

/** One daemon's answer, or why there is none. */
interface Answer {
  readonly url: string;
  readonly value?: unknown;
  readonly failure?: OperatorFailure;
}

/** `status`: what each daemon says of itself. */
export function status(
  context: Context,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const answers = yield* askAll(context, "/status");
    const rows = answers.map(({ url, value, failure }) =>
      failure === undefined
        ? { url, ...flat(value) }
        : { url, unreachable: failure.reason }
    );
    const reached = answers.filter((answer) => answer.failure === undefined);
    return {
      text: objectTable(rows),
      json: {
        daemons: answers.map(({ url, value, failure }) => ({
          url,
          ...(failure === undefined
            ? { status: value }
            : { error: failure.reason }),
        })),
      },
      exit: reached.length === answers.length
        ? EXIT_CODE.ok
        : EXIT_CODE.unreachable,
    };
  });
}

/** `runners`: the runners as one daemon sees them. */
export function runners(
  context: Context,
): Effect.Effect<Report, CommandFailure> {
  return listing(context, { path: "/runners", field: "runners" });
}

/** `daemons`: the daemons as one of them sees them. */
export function daemons(
  context: Context,
): Effect.Effect<Report, CommandFailure> {
  return listing(context, { path: "/daemons", field: "daemons" });
}

/** `why`: the decisions logged for a request, over all daemons. */
export function why(
  context: Context,
  requestId: string,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const path = `/decisions?request=${encodeURIComponent(requestId)}`;
    const answers = yield* askAll(context, path);
    const found = answers.flatMap(({ url, value }) =>
      listOf(value, "decisions").map((decision) => ({ url, decision }))
    );
    const silent = answers.filter((answer) => answer.failure !== undefined);
    if (found.length === 0) {
      return yield* Effect.fail(notFound(requestId, silent));
    }
    return {
      text: found.map(({ decision }) =>
        escapeText(
          typeof decision === "string" ? decision : JSON.stringify(decision),
        )
      ).join("\n"),
      json: { requestId, decisions: found },
    };
  });
}

function notFound(
  requestId: string,
  silent: readonly Answer[],
): CommandFailure {
  const shown = escapeText(requestId);
  if (silent.length === 0) {
    return failure(EXIT_CODE.failure, {
      code: "request_unknown",
      message:
        `No daemon remembers request "${shown}"; decisions are kept for a few minutes`,
    });
  }
  return failure(EXIT_CODE.unreachable, {
    code: "request_unknown",
    message:
      `No daemon that could be asked remembers request "${shown}"; not asked: ${
        silent.map(({ url }) => url).join(", ")
      }`,
  });
}

function listing(
  context: Context,
  what: { readonly path: string; readonly field: string },
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const answers = yield* askAll(context, what.path);
    const answer = answers.find(({ failure }) => failure === undefined);
    const items = listOf(answer?.value, what.field);
    return {
      text: items.length === 0
        ? `No ${what.field}`
        : objectTable(items.map(flat)),
      json: { from: answer?.url, [what.field]: items },
    };
  });
}

/** Asks all daemons; fails when none of them answers. */
function askAll(
  context: Context,
  path: string,
): Effect.Effect<readonly Answer[], CommandFailure> {
  return Effect.gen(function* () {
    const urls = yield* operatorUrlsOf(context);
    const answers = yield* Effect.forEach(
      urls,
      (url) =>
        Effect.map(
          Effect.result(context.operators.get(url, path)),
          (result): Answer =>
            Result.isSuccess(result)
              ? { url, value: result.success }
              : { url, failure: result.failure },
        ),
      { concurrency: "unbounded" },
    );
    const failures = answers.flatMap(({ failure }) => failure ?? []);
    if (failures.length < answers.length) return answers;
    return yield* Effect.fail(noneAnswered(failures));
  });
}

function noneAnswered(failures: readonly OperatorFailure[]): CommandFailure {
  const refused = failures.some(({ status }) => status === 401);
  return failure(EXIT_CODE.unreachable, {
    code: refused ? "token_refused" : "daemons_unreachable",
    message: refused
      ? "The daemons refuse the operators' token: give --operator-token"
      : "Cannot reach any daemon",
    details: failures.map(({ url, reason }) => escapeText(`${url}: ${reason}`)),
  });
}

function listOf(value: unknown, field: string): readonly unknown[] {
  if (typeof value !== "object" || value === null) return [];
  const list: unknown = Reflect.get(value, field);
  return Array.isArray(list) ? list : [];
}

type Flat = Readonly<Record<string, Cell>>;

/** Nested objects become columns such as `member.name`. */
function flat(value: unknown): Flat {
  if (typeof value !== "object" || value === null) {
    return { value: String(value) };
  }
  const cells: Record<string, Cell> = {};
  for (const [field, part] of Object.entries(value)) {
    if (Array.isArray(part)) cells[field] = part.map(textOf).join(" ");
    else if (typeof part === "object" && part !== null) {
      for (const [inner, cell] of Object.entries(flat(part))) {
        cells[`${field}.${inner}`] = cell;
      }
    } else cells[field] = part as Cell;
  }
  return cells;
}

function textOf(value: unknown): string {
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function objectTable(rows: readonly Flat[]): string {
  const header = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  return alignedTable(
    header.map(escapeText),
    rows.map((row) => header.map((field) => row[field])),
  );
}
