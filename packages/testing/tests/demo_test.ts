import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { LIMIT } from "./fixtures.ts";

const DEMO = fileURLToPath(new URL("../src/demo.js", import.meta.url));
const run = promisify(execFile);

describe("demo", LIMIT, () => {
  it("gets whole answers and prints a line for each class", async () => {
    const { stdout } = await run(process.execPath, [DEMO]);
    for (const name of ["quote", "query", "job-card", "cut-sheet"]) {
      const line = stdout.split("\n").find((line) => line.startsWith(name));
      const [, calls, whole] = line?.split(/\s+/) ?? [];
      assert.ok(Number(calls) > 0, stdout);
      assert.equal(whole, calls, stdout);
    }
  });
});
