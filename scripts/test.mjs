// Runs the built tests with Node's test runner.
// Usage: node scripts/test.mjs [WORD...] runs the test files whose paths contain all
// words; without words, all test files. Tests that KNOWN-RED.txt lists may fail; such
// failures are printed.
import { spawnSync } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { availableParallelism, tmpdir } from "node:os";
import { dirname, join, relative, sep } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { readKnownRed } from "./known_red.mjs";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
/** Test files at a time: a file that has to share a core misses its times. */
const CONCURRENCY = Math.min(4, availableParallelism());
/**
 * Files that run after the others, one at a time. The daemons, runners and callers of
 * plain_queue_test share a process that uses 0.8 of a core: beside other files, 0.81 of
 * what slots can serve was served in CI instead of 0.95. The crowds of clients fill
 * what their processes may hold.
 */
const ALONE = [
  "packages/router/tests/plain_queue_test.ts",
  "packages/testing/tests/daemon_crowds_test.ts",
  "platform/tests/client_crowds_test.ts",
];
/**
 * Time-out of one test file, in ms. The slowest takes 45 s, and 100 s on a busy
 * machine. A file that hangs fails with its name instead of blocking CI.
 */
const FILE_TIMEOUT_MS = 300_000;
const words = process.argv.slice(2);

/** Path of the built file of a source file. */
function builtPath(source) {
  const place = relative(root, source).split(sep);
  const depth = place[0] === "packages" ? 2 : 1;
  const built = [...place.slice(0, depth), "dist", ...place.slice(depth)];
  return join(root, ...built).replace(/\.ts$/, ".js");
}

/** Lists tests by their sources, so that the stale build of a deleted test never runs. */
function testFiles() {
  const found = [];
  const packages = readdirSync(join(root, "packages"));
  const packageFolders = packages.map((name) => join(root, "packages", name));
  for (const packageFolder of [...packageFolders, join(root, "platform")]) {
    for (const part of ["src", "tests"]) {
      const folder = join(packageFolder, part);
      if (!existsSync(folder)) continue;
      for (const entry of readdirSync(folder, { recursive: true })) {
        if (!entry.endsWith("_test.ts")) continue;
        found.push(builtPath(join(packageFolder, part, entry)));
      }
    }
  }
  return found.sort();
}

const selected = testFiles().filter((file) =>
  words.every((word) => relative(root, file).includes(word))
);
if (selected.length === 0) {
  console.error(`No test file matches ${JSON.stringify(words)}`);
  process.exit(1);
}
const { entries, findings } = readKnownRed(root);
for (const finding of findings) console.error(finding);
if (findings.length > 0) process.exit(1);

const folder = mkdtempSync(join(tmpdir(), "umbermast-test-"));

/** Runs test files; returns the exit status and the failed tests. */
function run(files, concurrency) {
  if (files.length === 0) return { status: 0, failures: [] };
  const failuresFile = join(folder, "failures");
  const { status } = spawnSync(
    process.execPath,
    [
      "--test",
      `--test-concurrency=${concurrency}`,
      `--test-timeout=${FILE_TIMEOUT_MS}`,
      // Ends each file when its tests have ended. Otherwise a socket that a test left
      // open would keep the process alive and the run would never end.
      "--test-force-exit",
      "--test-reporter=spec",
      "--test-reporter-destination=stdout",
      `--test-reporter=${join(root, "scripts/failures_reporter.mjs")}`,
      `--test-reporter-destination=${failuresFile}`,
      ...files,
    ],
    { cwd: root, stdio: "inherit" },
  );
  const failures = readFileSync(failuresFile, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line));
  return { status, failures };
}

const alone = new Set(ALONE.map((file) => builtPath(join(root, file))));
const runs = [
  run(selected.filter((file) => !alone.has(file)), CONCURRENCY),
  run(selected.filter((file) => alone.has(file)), 1),
];
rmSync(folder, { recursive: true });

/** The KNOWN-RED.txt entry of a failed test; undefined if it must not fail. */
function knownRedEntry({ name, file }) {
  return entries.find((entry) =>
    entry.test === name && builtPath(join(root, entry.file)) === file
  );
}

/** Whether tests failed, and only such that may. */
function onlyKnownFailures({ status, failures }) {
  return status === 1 && failures.length > 0 &&
    failures.every((failure) => knownRedEntry(failure) !== undefined);
}

const failedEntries = new Set(
  runs.flatMap(({ failures }) => failures).map(knownRedEntry),
);
for (const entry of failedEntries) {
  if (entry === undefined) continue;
  console.log(
    `KNOWN RED, passed over: ${entry.file}: "${entry.test}" (issue ${entry.issue})`,
  );
}
const failed = runs.find((result) =>
  result.status !== 0 && !onlyKnownFailures(result)
);
process.exit(failed === undefined ? 0 : failed.status ?? 1);
