import assert from "node:assert/strict";
import { test } from "node:test";
import { tableOf } from "./fixtures.ts";
import { parseTable } from "./parse.ts";
import type { Table } from "./table.ts";

function placesOf(value: unknown): readonly string[] {
  return parseTable(value)._unsafeUnwrapErr().map(({ place }) => place).sort();
}

function messagesOf(value: unknown): readonly string[] {
  return parseTable(value)._unsafeUnwrapErr().map(({ place, message }) =>
    `${place}: ${message}`
  );
}

/** The table as JSON, with one section replaced. */
function withSection(section: keyof Table, value: unknown): unknown {
  return { ...tableOf(), [section]: value };
}

test("a valid table is accepted unchanged", () => {
  const table = tableOf();
  assert.deepEqual(
    parseTable(JSON.parse(JSON.stringify(table)))._unsafeUnwrap(),
    table,
  );
});

test("a value that is not an object is a finding at the root", () => {
  assert.deepEqual(placesOf("table"), [""]);
  assert.deepEqual(placesOf(undefined), [""]);
});

test("all findings of shape and range are reported together", () => {
  const [row] = tableOf().rows;
  const value = {
    ...tableOf(),
    rows: [{ ...row, weight: 0 }, { ...row, inFlight: 1.5 }, {
      ...row,
      weigth: 3,
    }],
    workspaces: [{ name: "a b", keyDigests: ["ABC"], defaultClass: "quote" }],
    extra: true,
  };
  assert.deepEqual(placesOf(value), [
    "/extra",
    "/rows/0/weight",
    "/rows/1/inFlight",
    "/rows/2/weigth",
    "/workspaces/0/keyDigests/0",
    "/workspaces/0/name",
  ]);
});

test("a finding states the expected and the actual value", () => {
  const [row] = tableOf().rows;
  assert.deepEqual(messagesOf(withSection("rows", [{ ...row, weight: -1 }])), [
    "/rows/0/weight: Expected a number greater than 0, got -1",
  ]);
});

test("a weight that is not a finite number is rejected", () => {
  const [row] = tableOf().rows;
  for (const weight of [NaN, Infinity, "3", null]) {
    assert.deepEqual(placesOf(withSection("rows", [{ ...row, weight }])), [
      "/rows/0/weight",
    ]);
  }
});

test("a tier must be an integer from 0 to 31", () => {
  const [quote] = tableOf().classes;
  for (const tier of [-1, 0.5, 32]) {
    assert.deepEqual(
      placesOf(
        withSection("classes", [{ ...quote, tier }, tableOf().classes[1]]),
      ),
      ["/classes/0/tier"],
    );
  }
});

test("unknown names and duplicates are reported together", () => {
  const { rows, workspaces, services } = tableOf();
  const value = {
    ...tableOf(),
    rows: [...rows, rows[0], {
      workspace: "nobody",
      class: "nothing",
      weight: 1,
    }],
    workspaces: [...workspaces, { ...workspaces[0], defaultClass: "nothing" }],
    services: [...services, { ...services[0], name: "other" }],
  };
  assert.deepEqual(messagesOf(value), [
    '/workspaces/2/name: Duplicate workspace "office", already at /workspaces/0/name',
    `/workspaces/2/keyDigests/0: Duplicate key digest "${
      "a".repeat(64)
    }", already at /workspaces/0/keyDigests/0`,
    '/workspaces/2/defaultClass: Unknown class "nothing"',
    '/rows/4/workspace: Unknown workspace "nobody"',
    '/rows/4/class: Unknown class "nothing"',
    '/rows/3: Duplicate row "office/quote", already at /rows/0',
    '/services/2/models/0: Duplicate model "draft-7b", already at /services/0/models/0',
  ]);
});

test("minimum shares may sum to exactly 1, but not to more", () => {
  const [quote, cutSheet] = tableOf().classes;
  const classes = (quoteShare: number, cutSheetShare: number) => [
    { ...quote, minimumShare: quoteShare },
    { ...cutSheet, minimumShare: cutSheetShare },
  ];
  assert.ok(parseTable(withSection("classes", classes(0.3, 0.7))).isOk());
  assert.deepEqual(messagesOf(withSection("classes", classes(0.5, 0.6))), [
    "/classes: Minimum shares sum to 1.1, which is above 1: they cannot all be kept",
  ]);
});

test("a plain service has no models, a model service has at least one", () => {
  const [model, plain] = tableOf().services;
  const services = [{ ...model, models: [] }, { ...plain, models: ["x"] }];
  assert.deepEqual(placesOf(withSection("services", services)), [
    "/services/0/models",
    "/services/1/models",
  ]);
});
