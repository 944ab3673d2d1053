/**
 * Functions on lists of raw headers.
 *
 * @module
 */
import { endsInChunks } from "@umbermast/coordination/transfer_coding";
import type { RawHeaders } from "./dialect.ts";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), in lower case. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Returns the names that `connection` lists as hop-by-hop. */
function connectionHeaderNames(headers: RawHeaders): ReadonlySet<string> {
  const names = new Set<string>();
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() !== "connection") continue;
    for (const name of headers[i + 1]!.split(",")) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}

/**
 * Returns the headers without hop-by-hop headers and without those in
 * `dropped`, which holds names in lower case.
 */
export function endToEndHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): string[] {
  const named = connectionHeaderNames(headers);
  const endToEnd: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || named.has(name) || dropped.has(name)) continue;
    endToEnd.push(headers[i]!, headers[i + 1]!);
  }
  return endToEnd;
}

/** Returns the size of headers on the wire, with separators and line ends. */
export function headerBytes(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Returns the first value of a header, by its name in lower case. */
export function headerOf(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === name) return headers[i + 1];
  }
  return undefined;
}

/** Returns the values of all lines of a header, by its name in lower case. */
function valuesOf(headers: RawHeaders, name: string): readonly string[] {
  return headers.filter((_, i) =>
    i % 2 === 1 && headers[i - 1]!.toLowerCase() === name
  );
}

/** Whether a message states where its body ends, other than with its connection. */
export function isFramed(headers: RawHeaders): boolean {
  const codings = valuesOf(headers, "transfer-encoding");
  if (codings.length > 0) return endsInChunks(codings.join(", "));
  return headerOf(headers, "content-length") !== undefined;
}
