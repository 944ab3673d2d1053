// Prepares a checkout: installs the locked dependencies if they are not current, then
// builds all packages incrementally.
// Plain JavaScript, because it runs before anything is installed or built.
import { execFileSync } from "node:child_process";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));

function run(...args) {
  // Standard output is reserved for the calling command, which may print JSON.
  execFileSync(process.execPath, args, { cwd: root, stdio: ["ignore", 2, 2] });
}

try {
  run(join(root, "scripts", "install.mjs"));
  run(join(root, "node_modules", "typescript", "bin", "tsc"), "--build", root);
} catch (error) {
  console.error(`Cannot set up the checkout: ${error.message}`);
  process.exit(1);
}
