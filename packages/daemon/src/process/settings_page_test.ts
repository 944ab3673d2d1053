import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { settingsPage } from "./settings_page.ts";

const PAGE = new URL(
  "../../../../../docs/operators/settings.md",
  import.meta.url,
);

/** The formatter wraps the page's lines; the words must be the same. */
function wordsOf(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

test("the settings page matches the schema", () => {
  const page = readFileSync(PAGE, "utf8");
  assert.deepEqual(wordsOf(page), wordsOf(settingsPage()));
});

test("every setting has a description", () => {
  assert.doesNotMatch(settingsPage(), /undefined/);
});
