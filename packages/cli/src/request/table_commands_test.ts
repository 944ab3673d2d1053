import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { run, storeWithTable, tableOf } from "../fixtures.ts";

function folder(context: TestContext): string {
  const path = mkdtempSync(join(tmpdir(), "umbermastctl-"));
  context.after(() => rmSync(path, { recursive: true }));
  return path;
}

test("get shows the rows as an aligned table", async () => {
  const store = await storeWithTable();
  const { out, exit } = await run("table get", { store });
  assert.equal(exit, 0);
  assert.equal(
    out,
    `Version 1, edit first by ana at 1970-01-01T00:00:00.000Z

workspace  class  weight  requests/s  tokens/s  in flight
office     quote       1  -           -                 8
fitters    quote       2  -           -                 -
`,
  );
});

test("get shows a section and refuses an unknown one", async () => {
  const store = await storeWithTable();
  const { out } = await run("table get classes", { store });
  assert.match(out, /quote +0 +firstTokenMs=1500/);
  const unknown = await run("table get colours", { store });
  assert.equal(unknown.exit, 2);
  assert.match(unknown.error, /Unknown section "colours"/);
});

test("set applies with --yes and says what changed", async () => {
  const store = await storeWithTable();
  const words = "table set quote office weight=3 inFlight=none --yes";
  const { out, exit } = await run(words, { store });
  assert.equal(exit, 0);
  assert.match(
    out,
    /^~ rows office\/quote {2}weight: 1 -> 3, inFlight: 8 -> none\nAccepted as e1-[0-9a-f]{16} at version 2\n$/,
  );
});

test("set adds a row that is not there, and needs its weight", async () => {
  const store = await storeWithTable();
  const without = await run("table set quote office inFlight=4 --yes --json", {
    store,
  });
  assert.equal(without.exit, 0);
  const { exit, error } = await run("table set quote nobody inFlight=4", {
    store,
  });
  assert.equal(exit, 2);
  assert.match(error, /\/rows\/2\/weight: /);
});

test("set reports every wrong field", async () => {
  const store = await storeWithTable();
  const words = "table set quote office weight=x colour=red weight";
  const { exit, error } = await run(words, { store });
  assert.equal(exit, 2);
  assert.match(error, /Expected a number or "none" for weight, got "x"/);
  assert.match(error, /Unknown field "colour"/);
  assert.match(error, /Expected FIELD=VALUE, got "weight"/);
});

test("without --yes the difference is shown and the operator asked", async () => {
  const store = await storeWithTable();
  const words = "table set quote office weight=3";
  const refused = await run(words, { store }, { confirm: false });
  assert.equal(refused.exit, 1);
  assert.match(refused.error, /weight: 1 -> 3/);
  const blind = await run(words, { store });
  assert.equal(blind.exit, 2);
  assert.match(blind.error, /confirmation_missing/);
  const agreed = await run(words, { store }, { confirm: true });
  assert.equal(agreed.exit, 0);
});

test("a dry run shows the difference and changes nothing", async () => {
  const store = await storeWithTable();
  const words = "table set quote office weight=3 --dry-run";
  const { out, exit } = await run(words, { store });
  assert.equal(exit, 0);
  assert.match(out, /weight: 1 -> 3/);
  assert.match((await run("table get", { store })).out, /Version 1/);
});

test("edit takes several rows, removals and CSV in one edit", async () => {
  const store = await storeWithTable();
  const several = await run(
    "table edit --row office/quote:weight=3,inFlight=2 --remove fitters/quote --yes",
    { store },
  );
  assert.match(several.out, /- rows fitters\/quote/);
  const input = "workspace,class,weight,requestsPerSecond,tokensPerSecond," +
    "inFlight\r\nfitters,quote,4,,,\r\n";
  const csv = await run("table edit --csv --yes", { store }, { input });
  assert.match(csv.out, /- rows office\/quote/);
  assert.match(csv.out, /\+ rows fitters\/quote {2}.*weight=4/);
  const nothing = await run("table edit", { store });
  assert.equal(nothing.exit, 2);
});

test("what is exported imports without a change", async (context) => {
  const store = await storeWithTable();
  const path = folder(context);
  for (const name of ["rows.csv", "table.json"]) {
    const file = join(path, name);
    await run(["table", "export", file], { store });
    const { out } = await run(["table", "import", file, "--yes"], { store });
    assert.match(out, /^No change/);
  }
});

// A colleague edits a row between the export and the import of a spreadsheet.
// Without the base, the spreadsheet's old value would undo that edit silently.
test("an import leaves edits since its export in force", async (context) => {
  const store = await storeWithTable();
  const file = join(folder(context), "rows.csv");
  await run(["table", "export", file], { store });
  await run("table set quote office weight=9 --yes", { store });
  const edited = readFileSync(file, "utf8").replace(
    '"fitters","quote",2',
    '"fitters","quote",5',
  );
  writeFileSync(file, edited);
  const { exit, out } = await run(
    ["table", "import", file, "--base", "first", "--yes"],
    { store },
  );
  assert.equal(exit, 0);
  assert.match(out, /fitters\/quote {2}weight: 2 -> 5/);
  const rows = await run("table get", { store });
  assert.match(rows.out, /office +quote +9/);
});

test("an import of a row changed since its export conflicts and shows both", async (context) => {
  const store = await storeWithTable();
  const file = join(folder(context), "table.json");
  await run(["table", "export", file], { store });
  await run("table set quote office weight=9 --yes", { store });
  const edited = readFileSync(file, "utf8").replace(
    '"weight": 1',
    '"weight": 5',
  );
  writeFileSync(file, edited);
  const { exit, error } = await run(["table", "import", file, "--yes"], {
    store,
  });
  assert.equal(exit, 3);
  assert.match(error, /before .*weight=1/);
  assert.match(error, /yours .*weight=5/);
  assert.match(error, /theirs .*weight=9/);
});

test("findings of a CSV file are shown with row and column", async () => {
  const store = await storeWithTable();
  const input = "workspace;class;weight;requestsPerSecond;tokensPerSecond;" +
    "inFlight\r\noffice;quote;1,5;;;x\r\n";
  const { exit, error } = await run("table import - --yes", { store }, {
    input,
  });
  assert.equal(exit, 2);
  assert.match(error, /row 2, column "weight": Expected a decimal point/);
  assert.match(error, /row 2, column "inFlight": Expected a number/);
});

test("history shows who, when and what, and rollback is a new edit", async () => {
  const store = await storeWithTable();
  await run([
    "table",
    "set",
    "quote",
    "office",
    "weight=3",
    "--yes",
    "--note",
    "busy \u001b[2Jday",
  ], { store });
  const back = await run("table rollback first --yes", { store });
  assert.match(back.out, /weight: 3 -> 1/);
  const { out } = await run("table history", { store });
  const lines = out.split("\n");
  assert.match(lines[0] ?? "", /^3 .* bo {2}e2-\w+ {2}rollback to first$/);
  assert.match(lines[2] ?? "", /^2 .* bo {2}e1-\w+ {2}busy \\u001b\[2Jday$/);
  assert.match(lines[3] ?? "", /weight: 1 -> 3/);
  assert.match(lines[4] ?? "", /^1 .* ana {2}first$/);
  const unknown = await run("table rollback nothing --yes", { store });
  assert.equal(unknown.exit, 1);
});

test("an unknown edit exits with 5 and says how to resolve it", async () => {
  const store = await storeWithTable();
  let written = false;
  const failing = store.withPlan(({ operation }) => {
    if (written) return "refuse";
    if (operation !== "write") return "none";
    written = true;
    return "lose-reply";
  });
  const { exit, error } = await run(
    "table set quote office weight=3 --yes --timeout 0.2",
    { store: failing },
  );
  assert.equal(exit, 5);
  const editId = /table resolve (e1-[0-9a-f]+)/.exec(error)?.[1] ?? "";
  const resolved = await run(["table", "resolve", editId], { store });
  assert.match(resolved.out, /was accepted, as edit 2/);
  const other = await run("table resolve e2-00", { store });
  assert.match(other.out, /was not accepted and cannot be/);
});

test("a first table is written from JSON", async () => {
  const { MemoryStore } = await import("@umbermast/coordination/testing");
  const store = new MemoryStore();
  const missing = await run("table get", { store });
  assert.match(missing.error, /table_missing/);
  const input = JSON.stringify(tableOf());
  const blind = await run("table import -", { store }, { input });
  assert.match(blind.error, /confirmation_missing/);
  const { exit } = await run("table import - --yes", { store }, { input });
  assert.equal(exit, 0);
  assert.match((await run("table get", { store })).out, /office/);
});

test("a platform that cannot be reached exits with 4", async () => {
  const store = (await storeWithTable()).withPlan(() => "refuse");
  const { exit, error } = await run("table get", { store });
  assert.equal(exit, 4);
  assert.match(error, /platform_unreachable/);
});

// The store goes down right after it has accepted an edit, before any daemon
// has read it. The tool still holds the accepted version and offers it.
