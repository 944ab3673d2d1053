// Reads KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault.
// An entry is a line with the path of a test file, followed by indented lines
// "test:" with the full name of the test, "command:", "seen:" and "issue:".
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";

const FIELDS = ["test", "command", "seen", "issue"];
const FIELD = /^\s+(\w+): (.+)$/;

function parse(text) {
  const entries = [];
  for (const line of text.split("\n")) {
    if (line.trim() === "" || line.startsWith("#")) continue;
    const field = FIELD.exec(line);
    if (field === null) entries.push({ file: line.trim() });
    else if (entries.length > 0) entries.at(-1)[field[1]] = field[2];
  }
  return entries;
}

/** Returns what is wrong with an entry; it must name exactly one existing test. */
function findingOf(entry, root) {
  const missing = FIELDS.find((field) => entry[field] === undefined);
  if (missing !== undefined) return `${entry.file}: no "${missing}:"`;
  const path = join(root, entry.file);
  if (!existsSync(path)) return `${entry.file}: no such file`;
  const pieces = readFileSync(path, "utf8").split(JSON.stringify(entry.test));
  if (pieces.length === 2) return undefined;
  return `${entry.file}: ${pieces.length - 1} tests named "${entry.test}"`;
}

/**
 * Reads the list; it is empty if there is no file.
 *
 * @returns the entries, and findings about invalid entries.
 */
export function readKnownRed(root) {
  const path = join(root, "KNOWN-RED.txt");
  if (!existsSync(path)) return { entries: [], findings: [] };
  const entries = parse(readFileSync(path, "utf8"));
  const findings = entries
    .map((entry) => findingOf(entry, root))
    .filter((finding) => finding !== undefined)
    .map((finding) => `Cannot read KNOWN-RED.txt: ${finding}`);
  return { entries, findings };
}
