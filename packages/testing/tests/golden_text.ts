/**
 * Golden files: recorded sessions as text that is the same each time.
 */
import assert from "node:assert/strict";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** What one end sent to another, or what happened at an end. */
export interface Part {
  readonly title: string;
  readonly text: string;
}

// Built tests run from dist/tests; the files stay beside the sources.
const FOLDER = fileURLToPath(
  new URL("../../tests/golden/", import.meta.url),
);
const REGENERATE = process.env["UMBERMAST_REGENERATE"] === "1";
const UUID = /[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g;
const CHUNKED = /^transfer-encoding: chunked$/im;
const HEAD_END = "\r\n\r\n";

/** Joins the chunks of a body: where they are cut depends on timing alone. */
function joinChunks(body: string): string {
  let rest = body;
  let joined = "";
  for (;;) {
    const line = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (line === null) return `${joined}(cut off before the last chunk)\n`;
    const size = Number.parseInt(line[1]!, 16);
    const start = line[0].length;
    if (size === 0) return `${joined}(last chunk)\n`;
    joined += rest.slice(start, start + size);
    rest = rest.slice(start + size + "\r\n".length);
  }
}

/** A message, or several on one connection, with bodies in one piece each. */
function readable(text: string): string {
  const split = text.indexOf(HEAD_END);
  if (split === -1) return text.replaceAll("\r\n", "\n");
  const head = text.slice(0, split);
  const body = text.slice(split + HEAD_END.length);
  const whole = CHUNKED.test(head) ? joinChunks(body) : body;
  return `${head.replaceAll("\r\n", "\n")}\n\n${whole}`;
}

/** Puts names in place of what differs from run to run. */
function normalised(text: string): string {
  const ids = new Map<string, string>();
  return text
    .replace(UUID, (id) => {
      if (!ids.has(id)) ids.set(id, `ID-${ids.size + 1}`);
      return ids.get(id)!;
    })
    .replace(/^(date): .*$/gim, "$1: DATE")
    .replace(/127\.0\.0\.1:\d+/g, "ADDRESS:PORT")
    .replace(/Bearer [0-9A-Za-z._-]+/g, "Bearer KEY");
}

/** Writes the parts of a session as one text. */
function sessionText(parts: readonly Part[]): string {
  const text = parts
    .map(({ title, text }) => `=== ${title}\n${readable(text).trimEnd()}\n`)
    .join("\n");
  return normalised(text);
}

/** Compares a session with its file, or writes the file when told to. */
export function assertGolden(name: string, parts: readonly Part[]): void {
  const file = join(FOLDER, `${name}.golden`);
  const text = sessionText(parts);
  if (REGENERATE) {
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, text);
    return;
  }
  assert.ok(existsSync(file), `no "${file}": run npm run golden`);
  assert.equal(text, readFileSync(file, "utf8"));
}
