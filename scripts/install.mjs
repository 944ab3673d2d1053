// Installs the locked dependencies if they are missing, older than the lock file, or
// those of another kind of machine.
// Plain JavaScript, because it runs before anything is installed or built.
import { execFileSync } from "node:child_process";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { isInstallationCurrent } from "./installation.mjs";

const root = dirname(dirname(fileURLToPath(import.meta.url)));

if (!isInstallationCurrent(root)) {
  // Standard output is reserved for the calling command, which may print JSON.
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], {
    cwd: root,
    stdio: ["ignore", 2, 2],
  });
}
