/**
 * Fixtures for tests of the command line.
 *
 * @internal
 * @module
 */
import { MemoryStore } from "@umbermast/coordination/testing";
import { createTable } from "@umbermast/table";
import type { Table } from "@umbermast/table";
import * as Effect from "effect/Effect";
import { runCli } from "./cli.ts";
import type { Parts } from "./cli.ts";
import type { ExitCode } from "./process/exit_codes.ts";
import type { Io } from "./process/io.ts";
import type { Operators } from "./process/operators.ts";

/** A table of two workspaces in one class. */
export function tableOf(): Table {
  return {
    classes: [{
      name: "quote",
      tier: 0,
      target: { firstTokenMs: 1500 },
      timeoutMs: 10_000,
      minimumShare: 0.1,
    }],
    workspaces: [
      { name: "office", keyDigests: [], defaultClass: "quote" },
      { name: "fitters", keyDigests: [], defaultClass: "quote" },
    ],
    rows: [
      { workspace: "office", class: "quote", weight: 1, inFlight: 8 },
      { workspace: "fitters", class: "quote", weight: 2 },
    ],
    services: [],
  };
}

/** A store that holds the table, written by an edit "first". */
export async function storeWithTable(): Promise<MemoryStore> {
  const store = new MemoryStore();
  const note = { editId: "first", editor: "ana", at: 0 };
  await Effect.runPromise(
    createTable(store, { table: tableOf(), metadata: note }),
  );
  return store;
}

/** Daemons that answer by URL and path; anything else is unreachable. */
export function operatorsOf(
  answer: (url: string, path: string) => unknown,
  take: (url: string, body: unknown) => unknown = () => undefined,
): Operators {
  const reach = (url: string, value: () => unknown) =>
    Effect.suspend(() => {
      const found = value();
      if (found !== undefined) return Effect.succeed(found);
      const reason = "connect ECONNREFUSED";
      return Effect.fail({ _tag: "OperatorFailure", url, reason } as const);
    });
  return {
    get: (url, path) => reach(url, () => answer(url, path)),
    post: (url, { body }) => reach(url, () => take(url, body)),
  };
}

/** What a command line printed, and its exit code. */
export interface Printed {
  readonly exit: ExitCode;
  readonly out: string;
  readonly error: string;
}

/** Runs a command line; words are separated by single spaces. */
export async function run(
  words: string | readonly string[],
  parts: Parts,
  options: {
    readonly input?: string;
    readonly confirm?: boolean;
    readonly env?: Readonly<Record<string, string>>;
  } = {},
): Promise<Printed> {
  const out: string[] = [];
  const error: string[] = [];
  const io: Io = {
    env: { UMBERMAST_EDITOR: "bo", ...options.env },
    interactive: options.confirm !== undefined,
    out: (text) => out.push(text),
    error: (text) => error.push(text),
    input: () => Promise.resolve(options.input ?? ""),
    confirm: () => Promise.resolve(options.confirm ?? false),
  };
  const args = typeof words === "string" ? words.split(" ") : words;
  const exit = await runCli(args, io, parts);
  return { exit, out: out.join(""), error: error.join("") };
}
