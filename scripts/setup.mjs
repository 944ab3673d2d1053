// Prepares a checkout: installs the locked dependencies if they are missing or
// older than the lock file, then builds all packages incrementally.
// Plain JavaScript, because it runs before anything is installed or built.
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const installedLock = join(root, "node_modules", ".package-lock.json");
const lock = join(root, "package-lock.json");

function run(command, args) {
  // Standard output is reserved for the calling command, which may print JSON.
  execFileSync(command, args, { cwd: root, stdio: ["ignore", 2, 2] });
}

function installIsCurrent() {
  if (!existsSync(installedLock)) return false;
  return statSync(installedLock).mtimeMs >= statSync(lock).mtimeMs;
}

try {
  if (!installIsCurrent()) run("npm", ["ci", "--no-audit", "--no-fund"]);
  run(process.execPath, [
    join(root, "node_modules", "typescript", "bin", "tsc"),
    "--build",
    root,
  ]);
} catch (error) {
  console.error(`Cannot set up the checkout: ${error.message}`);
  process.exit(1);
}
