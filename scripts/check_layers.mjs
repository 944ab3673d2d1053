// Checks the dependencies between modules. A module may import only modules of its
// own or a longer lifetime (request < connection < version < process), and a package
// only packages of lower layers. Names of the users' platform, such as its headers,
// may occur only in platform/ and deploy/.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, relative, sep } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const LIFETIMES = ["request", "connection", "version", "process"];
const LAYERS = [
  ["coordination"],
  ["table", "router"],
  ["daemon", "cli", "testing"],
  ["bench"],
];
// Names that may occur only in platform/ and deploy/.
const PLATFORM_NAMES =
  /umbermast-(?:deadline-ms|expect-instance|response-seal|tenant|token-usage|prefix-hash|instance-load|not-executed|request-priority)|UMBERMAST_NODE_FILE|\/-\/(?:objects|readyz|report)|http_routes|path_prefix|@umbermast\/platform/i;
const IMPORT = /(?:import|export)\s[^;]*?from\s+"([^"]+)"/g;

function layerOf(name) {
  return LAYERS.findIndex((layer) => layer.includes(name));
}

function lifetimeOf(path) {
  const parts = path.split(sep);
  return LIFETIMES.indexOf(parts[parts.indexOf("src") + 1]);
}

function importFindings(name, file) {
  const found = [];
  const place = relative(root, file);
  for (const match of readFileSync(file, "utf8").matchAll(IMPORT)) {
    const target = match[1];
    if (target.startsWith("@umbermast/")) {
      const other = target.slice("@umbermast/".length).split("/")[0];
      if (other !== name && layerOf(other) >= layerOf(name)) {
        found.push(
          `${place}: package "${name}" imports "${other}", which is not in a lower layer`,
        );
      }
      continue;
    }
    if (!target.startsWith(".")) continue;
    const from = lifetimeOf(file);
    const to = lifetimeOf(normalize(join(dirname(file), target)));
    if (from === -1 || to === -1 || to >= from) continue;
    found.push(
      `${place}: "${LIFETIMES[from]}" imports "${
        LIFETIMES[to]
      }", a shorter lifetime`,
    );
  }
  return found;
}

function platformNameFindings(file) {
  return readFileSync(file, "utf8").split("\n").flatMap((line, index) => {
    const match = PLATFORM_NAMES.exec(line)?.[0];
    if (match === undefined) return [];
    const place = `${relative(root, file)}:${index + 1}`;
    return [`${place}: "${match}" may occur only in platform/ and deploy/`];
  });
}

const all = [];
for (const name of readdirSync(join(root, "packages"))) {
  const folder = join(root, "packages", name, "src");
  if (!existsSync(folder)) continue;
  for (const entry of readdirSync(folder, { recursive: true })) {
    if (!entry.endsWith(".ts") || entry.endsWith("_test.ts")) continue;
    all.push(...importFindings(name, join(folder, entry)));
    all.push(...platformNameFindings(join(folder, entry)));
  }
}
for (const finding of all) console.error(finding);
process.exit(all.length === 0 ? 0 : 1);
