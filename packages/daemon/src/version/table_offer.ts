/**
 * Versions of the table that an operator's tool offers after an edit.
 *
 * @module
 */
import { parseStoredTable } from "@umbermast/table";
import type { Finding } from "@umbermast/table";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { VersionedValue } from "./table_feed.ts";

/**
 * Checks an offered version, `{"version", "value"}` with the value as stored.
 *
 * The store may go down right after it has accepted an edit; the tool that made
 * the edit is then the only one that holds it. Whoever has the operators' token
 * may edit the table anyway, and a version is put in force only when it is
 * higher than the present one, so an offer that comes late or twice does nothing.
 */
export function parseOffer(
  body: unknown,
): Result<VersionedValue, readonly Finding[]> {
  const offer = typeof body === "object" && body !== null ? body : {};
  const { version, value }: Partial<VersionedValue> = offer;
  if (!Number.isSafeInteger(version) || (version ?? 0) <= 0) {
    return err([{
      place: "/version",
      message: "Expected a positive integer",
    }]);
  }
  return parseStoredTable(value)
    .mapErr((findings) =>
      findings.map(({ place, message }) => ({
        place: `/value${place}`,
        message,
      }))
    )
    .andThen(() => ok({ version: version as number, value }));
}
