/**
 * Selects the headers that are forwarded between a caller and a runner.
 *
 * @module
 */
import { HOP_BY_HOP } from "@umbermast/router/headers";
import type { Header } from "./call.ts";

/** Request headers that this daemon consumes or sets itself. */
const CONSUMED_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "content-length",
  "expect",
  "host",
  "idempotency-key",
]);

const RESERVED_PREFIX = "umbermast-";

/** Converts Node's flat list of names and values to headers in lower case. */
export function headerLines(raw: readonly string[]): readonly Header[] {
  const lines: Header[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    lines.push({ name: raw[i]!.toLowerCase(), value: raw[i + 1]! });
  }
  return lines;
}

/** Returns the hop-by-hop headers that the `connection` header lists. */
function namedInConnection(headers: readonly Header[]): ReadonlySet<string> {
  const names = headers
    .filter(({ name }) => name === "connection")
    .flatMap(({ value }) => value.split(","))
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}

function endToEnd(headers: readonly Header[]): readonly Header[] {
  const named = namedInConnection(headers);
  return headers.filter(({ name }) =>
    !HOP_BY_HOP.has(name) && !named.has(name)
  );
}

/** Returns the headers of a caller's request that are sent to the runner. */
export function requestHeaders(headers: readonly Header[]): readonly Header[] {
  return endToEnd(headers).filter(({ name }) =>
    !CONSUMED_HEADERS.has(name) && !name.startsWith(RESERVED_PREFIX)
  );
}

/** Returns the headers of a runner's response that are sent to the caller. */
export function responseHeaders(headers: readonly Header[]): readonly Header[] {
  return endToEnd(headers).filter(({ name }) =>
    !name.startsWith(RESERVED_PREFIX)
  );
}
