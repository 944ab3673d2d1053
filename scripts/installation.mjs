// Whether the installed dependencies are those of the lock file, for this machine.
import { existsSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/**
 * Returns whether the dependencies in a checkout are current: not older than the lock
 * file, and installed on the same kind of machine. A checkout that is carried to a
 * machine of another kind brings programs that cannot run there.
 */
export function isInstallationCurrent(
  root,
  { arch = process.arch, platform = process.platform } = {},
) {
  const installedLock = join(root, "node_modules", ".package-lock.json");
  const lock = join(root, "package-lock.json");
  if (!existsSync(installedLock)) return false;
  if (statSync(installedLock).mtimeMs < statSync(lock).mtimeMs) return false;
  const { packages } = JSON.parse(readFileSync(installedLock, "utf8"));
  return Object.values(packages).every(({ cpu, os }) =>
    allows(cpu, arch) && allows(os, platform)
  );
}

/** Whether a package's list of machines, which may exclude some, allows this one. */
function allows(machines, machine) {
  if (machines === undefined) return true;
  if (machines.includes(`!${machine}`)) return false;
  const named = machines.filter((name) => !name.startsWith("!"));
  return named.length === 0 || named.includes(machine);
}
