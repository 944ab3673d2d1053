/**
 * Offering an accepted version to the daemons.
 *
 * @module
 */
import type { VersionedTable } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type { Operators } from "../process/operators.ts";

/**
 * Offers a version that the store has accepted to daemons, which put it in force
 * and pass it on.
 *
 * Without this the daemons would learn of it from the store alone, and an outage
 * right after the acceptance would keep it out of force until the store is back.
 * It is a shortcut besides: nothing depends on it while the store can be read,
 * so a daemon that does not take it is passed over.
 *
 * @returns the URLs of the daemons that took it.
 *
 * @example
 * ```ts
 * const { version, stored } = yield* applyEdit(store, edit);
 * yield* offerVersion(operators, urls, { version, stored });
 * ```
 */
export function offerVersion(
  operators: Operators,
  urls: readonly string[],
  { version, stored }: VersionedTable,
): Effect.Effect<readonly string[]> {
  const message = { path: "/table", body: { version, value: stored } };
  const offers = Effect.forEach(
    urls,
    (url) =>
      Effect.match(operators.post(url, message), {
        onFailure: () => [],
        onSuccess: () => [url],
      }),
    { concurrency: "unbounded" },
  );
  return Effect.map(offers, (taken) => taken.flat());
}
