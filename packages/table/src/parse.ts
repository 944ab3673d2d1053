/**
 * Validation of a whole table.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Finding } from "./finding.ts";
import { referenceFindings } from "./references.ts";
import { decodeTable } from "./schema.ts";
import type { Table } from "./table.ts";

/**
 * Validates a table read from JSON. All findings are reported together; the
 * cross-references are checked once every entry has its shape.
 *
 * @example
 * ```ts
 * parseTable(JSON.parse(text)).match(
 *   (table) => console.log(`${table.rows.length} rows`),
 *   (findings) => {
 *     for (const { place, message } of findings) {
 *       console.error(`${place}: ${message}`);
 *     }
 *   },
 * );
 * ```
 */
export function parseTable(value: unknown): Result<Table, readonly Finding[]> {
  return decodeTable(value).andThen((table) => {
    const findings = referenceFindings(table);
    return findings.length === 0 ? ok(table) : err(findings);
  });
}
