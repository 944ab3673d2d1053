// Sets the checkout up, then runs one of the project's commands in this very
// process. Usage: node scripts/run.mjs stack|demo|bench [ARGUMENT...]
//
// One process, started by "exec": npm passes SIGTERM to the shell of a script and
// no further, so that a command behind a shell would outlive it.
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
  console.error(`No command "${name}": expected ${Object.keys(PROGRAMS)}`);
  process.exit(64);
}
await import("./setup.mjs");
const file = join(root, program);
process.argv = [process.argv[0], file, ...args];
await import(pathToFileURL(file).href);
