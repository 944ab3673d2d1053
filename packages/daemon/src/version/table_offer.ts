/**
 * Parses versions of the table that an operator's tool offers after an edit.
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
 * The store may fail right after it has accepted an edit, which leaves the tool
 * that made the edit with the only copy. Anyone with the operators' token may
 * edit the table anyway, and a version is applied only if it is higher than the
 * current one, so a late or repeated offer has no effect.
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
