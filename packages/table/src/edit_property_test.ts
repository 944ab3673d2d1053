import { MemoryStore } from "@umbermast/coordination/testing";
import type { StoreFault } from "@umbermast/coordination/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as fc from "fast-check";
import { diffTables } from "./change.ts";
import { readTable } from "./commit.ts";
import { applyEdit, createTable } from "./edit.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { rowOf, tableOf } from "./fixtures.ts";
import { readHistory } from "./history.ts";
import { resolveEdit } from "./resolve.ts";

const FAULTS: readonly StoreFault[] = [
  "none",
  "none",
  "none",
  "lose-reply",
  "lose-request",
  "refuse",
];

/** The outcome that was reported to the operator for one edit. */
interface ReportedOutcome {
  readonly editId: string;
  readonly accepted: boolean;
}

/** Makes edits as one operator, and resolves each edit whose outcome is unknown. */
function operator(
  store: MemoryStore,
  options: {
    readonly name: string;
    readonly weights: readonly number[];
    readonly nextFault: () => StoreFault;
  },
): Effect.Effect<readonly ReportedOutcome[]> {
  const faulty = store.withPlan(options.nextFault);
  return Effect.forEach(
    options.weights,
    (weight, index) =>
      Effect.gen(function* () {
        const editId = `${options.name}-${index}`;
        const read = yield* readTable(store);
        assert.ok(read !== undefined);
        const { table, sequence } = read.stored;
        const [first, ...rest] = table.rows;
        const rows = [{ ...(first ?? rowOf()), weight }, ...rest];
        const metadata = { editId, editor: options.name, at: index };
        const accepted = yield* applyEdit(faulty, {
          ...metadata,
          baseSequence: sequence,
          changes: diffTables(table, { ...table, rows }),
        }, { retryTimeoutMs: 300 }).pipe(
          Effect.map(({ _tag }) => _tag === "Accepted"),
          Effect.catchTag("UnknownWhetherAccepted", () =>
            resolveEdit(store, {
              editId,
              closing: { ...metadata, editId: `${editId}-closing` },
            }).pipe(
              Effect.map(({ _tag }) => _tag === "Accepted"),
            )),
          Effect.catch(() => Effect.succeed(false)),
        );
        return { editId, accepted };
      }).pipe(Effect.orDie),
  );
}

// Two operators edit one row while the store refuses calls and loses requests and
// replies. In every interleaving, the history must contain exactly the edits that
// were reported as accepted, each once and each applied to the version before it,
// so that the sequences have no gaps.
test("an edit is reported as accepted exactly when it is in the history once, under any faults", async () => {
  const weights = fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 6 });
  const faults = fc.array(fc.constantFrom(...FAULTS), { maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(
      weights,
      weights,
      faults,
      async (first, second, planned) => {
        const store = new MemoryStore();
        const metadata = { editId: "first", editor: "ana", at: 0 };
        await runOnVirtualClock(
          createTable(store, { table: tableOf(), metadata }),
        );
        const remainingFaults = [...planned];
        const nextFault = () => remainingFaults.pop() ?? "none";
        const outcomes = await runOnVirtualClock(Effect.all([
          operator(store, { name: "one", weights: first, nextFault }),
          operator(store, { name: "other", weights: second, nextFault }),
        ], { concurrency: "unbounded" }));
        const accepted = outcomes.flat().filter((outcome) => outcome.accepted);
        const read = await runOnVirtualClock(readTable(store));
        assert.ok(read !== undefined);
        const entries = await runOnVirtualClock(
          readHistory(store, read.stored, { after: 0 }),
        );
        const edits = entries.filter(({ changes }) => changes.length > 0);
        assert.deepEqual(
          edits.map(({ editId }) => editId).sort(),
          accepted.map(({ editId }) => editId).sort(),
        );
        assert.deepEqual(
          entries.map(({ sequence }) => sequence),
          entries.map((_, index) => entries.length - index),
        );
      },
    ),
    { seed: 41, numRuns: 150 },
  );
});
