import assert from "node:assert/strict";
import { test } from "node:test";
import { initialStoredTable } from "@umbermast/table";
import { parseOffer } from "./table_offer.ts";

const EMPTY = { classes: [], workspaces: [], rows: [], services: [] };
const VALUE = initialStoredTable(EMPTY, { editId: "e", editor: "ana", at: 1 });

test("accepts a version with a stored table", () => {
  const offer = { version: 3, value: VALUE };
  assert.deepEqual(parseOffer(offer)._unsafeUnwrap(), offer);
});

test("rejects an invalid version or table and names its place", () => {
  const places = (body: unknown) =>
    parseOffer(body)._unsafeUnwrapErr().map(({ place }) => place);
  assert.deepEqual(places(null), ["/version"]);
  assert.deepEqual(places({ version: 0, value: VALUE }), ["/version"]);
  assert.deepEqual(places({ version: 3 }), ["/value"]);
  const value = { ...VALUE, table: { ...EMPTY, rows: {} } };
  assert.deepEqual(places({ version: 3, value }), ["/value/table/rows"]);
});
