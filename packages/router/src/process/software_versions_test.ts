import assert from "node:assert/strict";
import { test } from "node:test";
import { testEngine } from "../../tests/fixtures.ts";
import type { Runner } from "./runner.ts";
import { SoftwareVersions } from "./software_versions.ts";

function runnerOf(softwareVersion: string | undefined): Runner {
  return { ...testEngine(`r-${softwareVersion}`), softwareVersion };
}

test("a service has one version after all others have been gone for a while", () => {
  const versions = new SoftwareVersions(() => 60_000);
  versions.record([runnerOf("v1"), runnerOf("v2")], 0);
  versions.record([runnerOf("v2")], 30_000);
  assert.equal(versions.isMixed("llm", 89_000), true);
  assert.equal(versions.isMixed("llm", 90_000), false);
});

// Guards against a runner of unknown version that counts as one of the known version.
test("a runner that states no version makes its service mixed", () => {
  const versions = new SoftwareVersions(() => 60_000);
  versions.record([runnerOf("v1"), runnerOf(undefined)], 20_000);
  assert.equal(versions.isMixed("llm", 20_000), true);
});
