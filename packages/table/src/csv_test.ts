import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { importRows } from "./csv_read.ts";
import { rowsToCsv } from "./csv_write.ts";
import { rowOf, tableOf } from "./fixtures.ts";
import type { Row } from "./table.ts";

const HEADER =
  "workspace,class,weight,requestsPerSecond,tokensPerSecond,inFlight";

function findingsOf(...lines: readonly string[]): readonly string[] {
  return importRows(tableOf(), lines.join("\r\n"))._unsafeUnwrapErr().map((
    { place, message },
  ) => `${place}: ${message}`);
}

function rowsOf(...lines: readonly string[]): readonly Row[] {
  return importRows(tableOf(), lines.join("\r\n"))._unsafeUnwrap().rows;
}

test("rows are written with a byte order mark, CRLF and quoted names", () => {
  assert.equal(
    rowsToCsv([rowOf({ weight: 1.5, inFlight: 4 })]),
    `\uFEFF"workspace","class","weight","requestsPerSecond","tokensPerSecond","inFlight"\r\n` +
      `"office","quote",1.5,,,4\r\n`,
  );
});

test("any rows survive a round trip through CSV", () => {
  const positive = fc.double({ min: 1e-6, max: 1e9, noNaN: true });
  const limits = fc.record({
    weight: positive,
    requestsPerSecond: positive,
    tokensPerSecond: positive,
    inFlight: fc.integer({ min: 1, max: 1e6 }),
  }, { requiredKeys: ["weight"] });
  fc.assert(
    fc.property(limits, limits, (first, second) => {
      const rows = [rowOf(first), rowOf({ ...second, workspace: "fitters" })];
      assert.deepEqual(rowsOf(rowsToCsv(rows)), rows);
    }),
    { seed: 20261, numRuns: 200 },
  );
});

test("a cell that starts like a formula is escaped, so that it does not run", () => {
  const csv = rowsToCsv([rowOf({ workspace: '=HYPERLINK("http://x")' })]);
  assert.match(csv, /"'=HYPERLINK/);
});

test("a file with semicolons and columns in another order is read", () => {
  assert.deepEqual(
    rowsOf(
      "inFlight;weight;class;workspace;requestsPerSecond;tokensPerSecond",
      "4;1.5;quote;office;;",
    ),
    [rowOf({ weight: 1.5, inFlight: 4 })],
  );
});

test("cleared lines are skipped and do not shift row numbers", () => {
  assert.deepEqual(findingsOf(HEADER, ",,,,,", "office,quote,x,,,"), [
    'row 3, column "weight": Expected a number, got "x"',
  ]);
});

test("a decimal comma is rejected with a suggested correction", () => {
  assert.deepEqual(
    findingsOf(
      HEADER.replaceAll(",", ";"),
      "office;quote;1,5;;;",
    ),
    [
      'row 2, column "weight": Expected a decimal point, got "1,5"; write "1.5" or leave out the comma',
    ],
  );
  assert.deepEqual(findingsOf(HEADER, "office,quote,1,5,,,"), [
    "row 2: Expected 6 cells, got 7; is there a decimal comma?",
  ]);
});

test("all findings of a file are reported with row and column", () => {
  assert.deepEqual(
    findingsOf(
      HEADER,
      ",quote,,,,",
      "office,quote,-1,1 000,5%,",
    ),
    [
      'row 2, column "workspace": Expected the name of a workspace',
      'row 2, column "weight": Expected a weight',
      'row 3, column "weight": Expected a number, got "-1"',
      'row 3, column "requestsPerSecond": Expected a number, got "1 000"',
      'row 3, column "tokensPerSecond": Expected a number, got "5%"',
    ],
  );
});

test("findings of table validation have their row and column in the file", () => {
  assert.deepEqual(
    findingsOf(
      HEADER,
      "office,quote,1,,,",
      "nobody,quote,1,,,1.5",
      "office,quote,0,,,",
    ),
    [
      'row 3, column "inFlight": Expected an integer, got 1.5',
      'row 4, column "weight": Expected a number greater than 0, got 0',
    ],
  );
  assert.deepEqual(
    findingsOf(
      HEADER,
      "office,quote,1,,,",
      "nobody,quote,1,,,",
      "office,quote,2,,,",
    ),
    [
      'row 3, column "workspace": Unknown workspace "nobody"',
      'row 4: Duplicate row "office/quote", already at row 2',
    ],
  );
});

test("a missing column is rejected, since its limits would be removed", () => {
  assert.deepEqual(findingsOf("workspace,class,weight,colour", "a,b,1,red"), [
    'row 1: Missing column "requestsPerSecond"',
    'row 1: Missing column "tokensPerSecond"',
    'row 1: Missing column "inFlight"',
    'row 1: Unknown column "colour"',
  ]);
});

test("an empty file and an unclosed quote are findings", () => {
  assert.deepEqual(findingsOf(""), ["row 1: Expected a header"]);
  assert.match(findingsOf(HEADER, '"office,quote')[0] ?? "", /^line \d+: /);
});
