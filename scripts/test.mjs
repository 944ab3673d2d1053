// Runs the built tests with Node's test runner.
// Usage: node scripts/test.mjs [WORD...], where each WORD must occur in the
// path of a test file for it to run; without words every test runs.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const CONCURRENCY = 4;
/**
 * Milliseconds for one test file; the slowest takes 45 s, and 100 s on a busy
 * machine. A file that hangs fails with its name instead of holding up CI.
 */
const FILE_TIMEOUT_MS = 300_000;
const words = process.argv.slice(2);

/** Sources decide what runs, so a stale built file of a deleted test does not. */
function testFiles() {
  const found = [];
  const packages = readdirSync(join(root, "packages"));
  const homes = packages.map((name) => join(root, "packages", name));
  for (const home of [...homes, join(root, "platform")]) {
    for (const part of ["src", "tests"]) {
      const folder = join(home, part);
      if (!existsSync(folder)) continue;
      for (const entry of readdirSync(folder, { recursive: true })) {
        if (!entry.endsWith("_test.ts")) continue;
        found.push(
          join(home, "dist", part, entry.replace(/\.ts$/, ".js")),
        );
      }
    }
  }
  return found.sort();
}

const chosen = testFiles().filter((file) =>
  words.every((word) => relative(root, file).includes(word))
);
if (chosen.length === 0) {
  console.error(`No test file matches ${JSON.stringify(words)}`);
  process.exit(1);
}
const run = spawnSync(
  process.execPath,
  [
    "--test",
    `--test-concurrency=${CONCURRENCY}`,
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    // A file is over when its tests are: a socket that one of them left open
    // would otherwise keep the process, and the run, for ever.
    "--test-force-exit",
    "--test-reporter=spec",
    ...chosen,
  ],
  { cwd: root, stdio: "inherit" },
);
process.exit(run.status ?? 1);
