// Checks the layout by life span: a module may import from a longer life span
// (request < connection < version < process), never from a shorter one, and a
// lower package never imports a higher one. The words of the users' platform
// stand in platform/ and deploy/ only.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, relative, sep } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const SPANS = ["request", "connection", "version", "process"];
const LAYERS = [
  ["coordination"],
  ["table", "router"],
  ["daemon", "cli", "testing"],
  ["bench"],
];
// What only platform/ and deploy/ may say.
const PLATFORM_WORDS =
  /umbermast-(?:deadline-ms|expect-instance|response-seal|tenant|token-usage|prefix-hash|instance-load|not-executed|request-priority)|UMBERMAST_NODE_FILE|\/-\/(?:objects|readyz|report)|http_routes|path_prefix|@umbermast\/platform/i;
const IMPORT = /(?:import|export)\s[^;]*?from\s+"([^"]+)"/g;

function layerOf(name) {
  return LAYERS.findIndex((layer) => layer.includes(name));
}

function spanOf(path) {
  const parts = path.split(sep);
  return SPANS.indexOf(parts[parts.indexOf("src") + 1]);
}

function findings(name, file) {
  const found = [];
  const place = relative(root, file);
  for (const match of readFileSync(file, "utf8").matchAll(IMPORT)) {
    const target = match[1];
    if (target.startsWith("@umbermast/")) {
      const other = target.slice("@umbermast/".length).split("/")[0];
      if (other !== name && layerOf(other) >= layerOf(name)) {
        found.push(`${place}: package "${name}" imports "${other}" above it`);
      }
      continue;
    }
    if (!target.startsWith(".")) continue;
    const from = spanOf(file);
    const to = spanOf(normalize(join(dirname(file), target)));
    if (from === -1 || to === -1 || to >= from) continue;
    found.push(
      `${place}: "${SPANS[from]}" imports "${SPANS[to]}", a shorter life span`,
    );
  }
  return found;
}

function wordFindings(file) {
  return readFileSync(file, "utf8").split("\n").flatMap((line, index) => {
    const word = PLATFORM_WORDS.exec(line)?.[0];
    if (word === undefined) return [];
    const place = `${relative(root, file)}:${index + 1}`;
    return [`${place}: "${word}" belongs to platform/ alone`];
  });
}

const all = [];
for (const name of readdirSync(join(root, "packages"))) {
  const folder = join(root, "packages", name, "src");
  if (!existsSync(folder)) continue;
  for (const entry of readdirSync(folder, { recursive: true })) {
    if (!entry.endsWith(".ts") || entry.endsWith("_test.ts")) continue;
    all.push(...findings(name, join(folder, entry)));
    all.push(...wordFindings(join(folder, entry)));
  }
}
for (const finding of all) console.error(finding);
process.exit(all.length === 0 ? 0 : 1);
