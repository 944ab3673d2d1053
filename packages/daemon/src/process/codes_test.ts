import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { PROBLEM_STATUSES } from "./codes.ts";

// The built test runs from dist/src/process; sources and pages are not copied.
const PACKAGE = fileURLToPath(new URL("../../../", import.meta.url));
const PAGE = join(PACKAGE, "../../docs/codes.md");
const ROW = /^\| `([a-z_]+)` +\| ([^|]*)\|/gm;
const WARNING = /\.warning\(\s*"([a-z_]+)"/g;

/** Rows of the table under a heading: the code and the cell beside it. */
function rowsUnder(heading: string): ReadonlyMap<string, string> {
  const page = readFileSync(PAGE, "utf8");
  const section = page.split(/^## /m).find((part) => part.startsWith(heading));
  assert.ok(section, `no heading "${heading}"`);
  const rows = [...section.matchAll(ROW)];
  return new Map(rows.map(([, code = "", cell = ""]) => [code, cell.trim()]));
}

function sources(): readonly string[] {
  const folder = join(PACKAGE, "src");
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .map((file) => readFileSync(join(folder, file), "utf8"));
}

test("docs/codes.md lists exactly the errors with their statuses", () => {
  const expected = Object.entries(PROBLEM_STATUSES)
    .map(([code, statuses]) => [code, statuses.join(", ")]);
  assert.deepEqual([...rowsUnder("Errors told to callers")], expected);
});

test("docs/codes.md lists exactly the warnings that the daemon logs", () => {
  const logged = sources().flatMap((text) =>
    [...text.matchAll(WARNING)].map(([, code]) => code!)
  );
  const listed = [...rowsUnder("Warnings to operators").keys()];
  assert.deepEqual(listed, [...new Set(logged)].sort());
});
