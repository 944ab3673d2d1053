/**
 * `npm run capacity`: writes docs/CAPACITY.md from docs/capacity/slopes.json;
 * with `--check`, fails when the page is not what the JSON gives.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { capacityPage } from "./capacity_page.ts";
import type { SlopesResult } from "./slopes_result.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const SLOPES = join(ROOT, "docs", "capacity", "slopes.json");
const PAGE = join(ROOT, "docs", "CAPACITY.md");

/** Formats Markdown as the repository does. */
function format(markdown: string): string {
  return execFileSync(
    process.execPath,
    [join(ROOT, "node_modules", "deno", "bin.cjs"), "fmt", "--ext", "md", "-"],
    { input: markdown, encoding: "utf8", cwd: ROOT },
  );
}

/** The page that the kept slopes give. */
export function expectedPage(): string {
  const result = JSON.parse(readFileSync(SLOPES, "utf8")) as SlopesResult;
  return format(capacityPage(result));
}

/** The capacity page as it stands in the repository. */
export function keptPage(): string {
  return readFileSync(PAGE, "utf8");
}

function run(options: { readonly check?: boolean }): void {
  const expected = expectedPage();
  if (options.check !== true) {
    writeFileSync(PAGE, expected);
    return;
  }
  if (keptPage() === expected) return;
  process.stderr.write(
    `Cannot accept docs/CAPACITY.md: it differs from what ` +
      `docs/capacity/slopes.json gives; run "npm run capacity"\n`,
  );
  process.exitCode = 1;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  new Command("capacity")
    .description("Write docs/CAPACITY.md from docs/capacity/slopes.json")
    .option("--check", "only compare; exit 1 when they differ")
    .action(run)
    .parse();
}
