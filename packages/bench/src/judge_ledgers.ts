/**
 * Collects the runners' ledgers of a stack.
 *
 * @module
 */
import { fetchJson, type LedgerEntry, type Stack } from "@umbermast/testing";

/** All runs of all runners that can still be asked. */
export async function ledgersOf(
  stack: Stack,
): Promise<readonly LedgerEntry[]> {
  const answers = await Promise.all(
    stack.runners.map(({ url }) =>
      fetchJson(`${url}/ledger`).catch(() => undefined)
    ),
  );
  return answers.flatMap((answer) =>
    (answer?.body ?? []) as readonly LedgerEntry[]
  );
}
