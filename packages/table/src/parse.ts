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
 * Validates a table read from JSON. Reports all findings together; references
 * between entries are checked only if the shape of every entry is valid.
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
