/**
 * Parses and checks the head of a caller's request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Class, Workspace } from "@umbermast/table";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { TableVersion } from "../version/table_feed.ts";
import type { Header, Problem } from "./call.ts";
import { problem } from "./problems.ts";

/** Values of a request's head that do not depend on its route. */
export interface CallerHead {
  readonly workspace: Workspace;
  readonly class: string;
  readonly tier: number;
  readonly timeoutMs: number;
  /** Value of the caller's header; absent without one. */
  readonly repeatable?: boolean;
  readonly idempotencyKey?: string;
}

const BEARER = /^Bearer +([^\s]+) *$/i;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const PRINTABLE = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/;

/** Returns a header's value; fails on repeated headers, which are ambiguous. */
function singleHeader(
  headers: readonly Header[],
  name: string,
): Result<string | undefined, string> {
  const values = headers.filter((header) => header.name === name);
  if (values.length > 1) {
    return err(
      `Cannot read header "${name}": it is given ${values.length} times`,
    );
  }
  return ok(values[0]?.value);
}

function headerProblem(
  code: Parameters<typeof problem>[0],
  name: string,
  message: string,
): Problem {
  return problem(code, message, { place: `header/${name}` });
}

function findWorkspace(
  headers: readonly Header[],
  table: TableVersion,
): Result<Workspace, Problem> {
  const name = "authorization";
  const value = singleHeader(headers, name);
  if (value.isErr()) {
    return err(headerProblem("key_invalid", name, value.error));
  }
  const key = BEARER.exec(value.value ?? "")?.[1];
  if (key === undefined) {
    const message = `Cannot read header "${name}": expected "Bearer KEY"`;
    return err(headerProblem("key_invalid", name, message));
  }
  const digest = createHash("sha256").update(key).digest("hex");
  const workspace = table.workspacesByKeyDigest.get(digest);
  if (workspace !== undefined) return ok(workspace);
  const message =
    `Cannot accept the key in header "${name}": no workspace has it`;
  return err(headerProblem("key_invalid", name, message));
}

function findClass(
  headers: readonly Header[],
  options: { readonly table: TableVersion; readonly workspace: Workspace },
): Result<Class, Problem> {
  const name = "umbermast-class";
  const value = singleHeader(headers, name);
  if (value.isErr()) {
    return err(headerProblem("class_unknown", name, value.error));
  }
  const wanted = value.value ?? options.workspace.defaultClass;
  const found = options.table.classesByName.get(wanted);
  if (found !== undefined) return ok(found);
  const message = `Cannot find class "${wanted}": the table has no such class`;
  return err(headerProblem("class_unknown", name, message));
}

function readRepeatable(
  headers: readonly Header[],
): Result<boolean | undefined, Problem> {
  const name = "umbermast-repeatable";
  const value = singleHeader(headers, name);
  if (value.isErr()) {
    return err(headerProblem("repeatable_invalid", name, value.error));
  }
  if (value.value === undefined) return ok(undefined);
  if (value.value === "true") return ok(true);
  if (value.value === "false") return ok(false);
  const message =
    `Cannot read header "${name}": expected "true" or "false", got "${value.value}"`;
  return err(headerProblem("repeatable_invalid", name, message));
}

function readIdempotencyKey(
  headers: readonly Header[],
): Result<string | undefined, Problem> {
  const name = "idempotency-key";
  const value = singleHeader(headers, name);
  if (value.isErr()) {
    return err(headerProblem("idempotency_key_invalid", name, value.error));
  }
  const key = value.value;
  if (key === undefined) return ok(undefined);
  if (key.length <= MAX_IDEMPOTENCY_KEY_LENGTH && PRINTABLE.test(key)) {
    return ok(key);
  }
  const message =
    `Cannot read header "${name}": expected 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII characters`;
  return err(headerProblem("idempotency_key_invalid", name, message));
}

/** Parses the head of a request, with workspaces and classes of the table. */
export function readCallerHead(
  headers: readonly Header[],
  table: TableVersion,
): Result<CallerHead, Problem> {
  const workspace = findWorkspace(headers, table);
  if (workspace.isErr()) return err(workspace.error);
  const found = findClass(headers, { table, workspace: workspace.value });
  if (found.isErr()) return err(found.error);
  const repeatable = readRepeatable(headers);
  if (repeatable.isErr()) return err(repeatable.error);
  const key = readIdempotencyKey(headers);
  if (key.isErr()) return err(key.error);
  return ok({
    workspace: workspace.value,
    class: found.value.name,
    tier: found.value.tier,
    timeoutMs: found.value.timeoutMs,
    ...(repeatable.value === undefined ? {} : { repeatable: repeatable.value }),
    ...(key.value === undefined ? {} : { idempotencyKey: key.value }),
  });
}
