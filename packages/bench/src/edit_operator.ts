/**
 * An operator who edits the table, as `umbermastctl` does.
 *
 * @module
 */
import { HttpOperators, offerVersion } from "@umbermast/cli";
import type { Store } from "@umbermast/coordination";
import {
  applyEdit,
  diffTables,
  newEditId,
  readTable,
  resolveEdit,
} from "@umbermast/table";
import type {
  Accepted,
  Closed,
  Row,
  Table,
  Unchanged,
  VersionedTable,
} from "@umbermast/table";
import * as Effect from "effect/Effect";
import type { EditRecord } from "./edit_record.ts";

/** What an operator works with. */
export interface OperatorDesk {
  readonly name: string;
  readonly store: Store;
  readonly operators: HttpOperators;
  /** Operators' ports of the daemons that run now. */
  readonly urls: () => readonly string[];
  /** Draws a number from 0 up to 1. */
  readonly random: () => number;
  /** Whether accepted versions are offered to the daemons. */
  readonly offers: boolean;
  /** Edits to make. */
  readonly edits: number;
  /** Longest time between reading the table and sending the edit. */
  readonly thinkMs: number;
}

const READ_AGAIN_MS = 500;
const GIVE_UP_MS = 1_000;
/** Share of the edits that go to one row that everybody edits. */
const SHARED_ROW = 0.1;

/** Makes the edits one after the other, resolving each that is unknown. */
export function workAsOperator(
  desk: OperatorDesk,
): Effect.Effect<readonly EditRecord[]> {
  const all = Array.from({ length: desk.edits }, (_, at) => at);
  return Effect.forEach(all, (at) => editOnce(desk, at));
}

function editOnce(desk: OperatorDesk, at: number): Effect.Effect<EditRecord> {
  return Effect.gen(function* () {
    const read = yield* readAgain(desk.store);
    const { table, sequence } = read.stored;
    yield* Effect.sleep(desk.random() * desk.thinkMs);
    const editId = newEditId(sequence);
    const wanted = withRowEdited(table, desk, at);
    return yield* applyEdit(desk.store, {
      editId,
      editor: desk.name,
      at: Date.now(),
      baseSequence: sequence,
      changes: diffTables(table, wanted),
    }, { retryTimeoutMs: GIVE_UP_MS }).pipe(
      Effect.catchTag("UnknownWhetherAccepted", () => resolve(desk, editId)),
      Effect.flatMap((outcome) => accepted(desk, editId, outcome)),
      Effect.catchTag("EditConflict", () => {
        const conflict: EditRecord = { editId, fate: "conflict" };
        return Effect.succeed(conflict);
      }),
      Effect.catchTag("NotAccepted", () => {
        const refused: EditRecord = { editId, fate: "not-accepted" };
        return Effect.succeed(refused);
      }),
      Effect.catch(() => {
        const unresolved: EditRecord = { editId, fate: "unresolved" };
        return Effect.succeed(unresolved);
      }),
    );
  });
}

function accepted(
  { operators, urls, offers }: OperatorDesk,
  editId: string,
  outcome: Accepted | Unchanged | Closed,
): Effect.Effect<EditRecord> {
  if (outcome._tag !== "Accepted") {
    return Effect.succeed({ editId, fate: "not-accepted" });
  }
  const acceptedAt = performance.now();
  const { version } = outcome;
  const takers = offers ? urls() : [];
  return Effect.as(offerVersion(operators, takers, outcome), {
    editId,
    fate: "accepted",
    acceptedAt,
    version,
  });
}

/** Resolves an edit, as often as it takes until the store answers. */
function resolve(
  desk: OperatorDesk,
  editId: string,
): Effect.Effect<Accepted | Closed> {
  return Effect.suspend(() =>
    resolveEdit(desk.store, {
      editId,
      closing: { editId: newEditId(0), editor: desk.name, at: Date.now() },
    })
  ).pipe(
    Effect.catch(() =>
      Effect.andThen(Effect.sleep(READ_AGAIN_MS), resolve(desk, editId))
    ),
  );
}

function readAgain(store: Store): Effect.Effect<VersionedTable> {
  return Effect.suspend(() => readTable(store)).pipe(
    Effect.flatMap((read) =>
      read === undefined ? Effect.fail("no table") : Effect.succeed(read)
    ),
    Effect.catch(() =>
      Effect.andThen(Effect.sleep(READ_AGAIN_MS), readAgain(store))
    ),
  );
}

function withRowEdited(table: Table, desk: OperatorDesk, at: number): Table {
  const shared = desk.random() < SHARED_ROW;
  const index = shared ? 0 : Math.floor(desk.random() * table.rows.length);
  const row = table.rows[index] as Row;
  // Never the weight that it has, so that every edit changes something.
  const weight = 1 + at + desk.random();
  return { ...table, rows: table.rows.with(index, { ...row, weight }) };
}
