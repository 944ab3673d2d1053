// Sets up the checkout, then runs one of the project's commands in this process.
// Usage: node scripts/run.mjs stack|demo|bench [ARGUMENT...]
//
// package.json starts it by "exec", and it starts no child process for the command:
// npm sends SIGTERM only to the shell of a script, so a child of the shell would
// outlive it.
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath, pathToFileURL } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const PROGRAMS = {
  bench: "packages/bench/dist/src/main.js",
  demo: "packages/testing/dist/src/demo.js",
  stack: "packages/testing/dist/src/stack.js",
};

const [name = "", ...args] = process.argv.slice(2);
const program = PROGRAMS[name];
if (program === undefined) {
  console.error(`Unknown command "${name}": expected ${Object.keys(PROGRAMS)}`);
  process.exit(64);
}
await import("./setup.mjs");
const file = join(root, program);
process.argv = [process.argv[0], file, ...args];
await import(pathToFileURL(file).href);
