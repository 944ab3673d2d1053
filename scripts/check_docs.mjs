// Checks the documentation: links and paths resolve, CI runs every command that a
// page shows, and the codes, events and metrics in the operators' pages exist in the
// code. With --run, also runs the commands that no other part of CI runs.
import { execFileSync, spawn } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, relative } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { COMMANDS } from "./docs_commands.mjs";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const SKIPPED = new Set(["node_modules", "dist", ".git", "golden"]);
const LINK = /\[[^\]]*\]\(([^)\s]+)\)/g;
const PATH = /`((?:packages|docs|scripts|\.ci)\/[\w./-]+)`/g;
const METRIC = /`(umbermast_[a-z0-9_]+)(?:\{[^`]*\})?`/g;
const NAME = /`([a-z]+(?:_[a-z0-9]+)+)`/g;
const BLOCK = /^[ \t]*```sh\n([\s\S]*?)^[ \t]*```$/gm;
const SETTINGS = /^```json settings\n([\s\S]*?)^```$/gm;
/**
 * Time-out of a command that a page shows, or of the start and the end of a
 * server, in ms. The slowest command takes 60 s.
 */
const COMMAND_TIMEOUT_MS = 300_000;
const HISTOGRAM_PART = /_(?:bucket|sum|count)$/;

function filesUnder(folder, ending) {
  const found = [];
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    if (SKIPPED.has(entry.name)) continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) found.push(...filesUnder(path, ending));
    else if (entry.name.endsWith(ending)) found.push(path);
  }
  return found;
}

function anchorsOf(text) {
  return [...text.matchAll(/^#+ (.*)$/gm)].map((match) =>
    match[1].toLowerCase().replace(/[^\w\s-]/g, "").trim().replace(/\s/g, "-")
  );
}

function linkFindings(page) {
  const found = [];
  for (const [, target] of page.text.matchAll(LINK)) {
    if (/^[a-z]+:/.test(target)) continue;
    const [path, anchor] = target.split("#");
    const file = path === "" ? page.path : join(dirname(page.path), path);
    if (!existsSync(file)) {
      found.push(`${page.name}: link "${target}" does not resolve`);
      continue;
    }
    if (anchor === undefined || !file.endsWith(".md")) continue;
    if (anchorsOf(readFileSync(file, "utf8")).includes(anchor)) continue;
    found.push(
      `${page.name}: link "${target}" names a heading that does not exist`,
    );
  }
  return found;
}

function pathFindings(page) {
  return [...page.text.matchAll(PATH)]
    .map(([, path]) => path)
    .filter((path) => !existsSync(join(root, path)))
    .map((path) => `${page.name}: path "${path}" does not exist`);
}

function commandsIn(page) {
  return [...page.text.matchAll(BLOCK)].flatMap(([, block]) =>
    block.replaceAll("\\\n", " ").split("\n")
      .map((line) => line.replace(/\s+#.*$/, "").replace(/\s+/g, " ").trim())
      .filter((line) => line !== "" && !line.startsWith("#"))
  );
}

function ciFinding(command, place) {
  const entry = COMMANDS.find(({ pattern }) => pattern.test(command));
  if (entry === undefined) {
    return `${place}: CI does not run "${command}"`;
  }
  if (entry.run ?? entry.serve ?? entry.tour) return undefined;
  const file = entry.ci === undefined ? entry.test : ".ci/run";
  const text = entry.ci ?? entry.text;
  const path = join(root, file);
  if (existsSync(path) && readFileSync(path, "utf8").includes(text)) {
    return undefined;
  }
  return `${place}: "${file}" no longer contains "${text}", which runs "${command}"`;
}

function commandFindings(page) {
  return commandsIn(page)
    .map((command) => ciFinding(command, page.name))
    .filter((finding) => finding !== undefined);
}

function nameFindings(page, sources) {
  const metrics = [...page.text.matchAll(METRIC)]
    .map(([, name]) => name)
    .filter((name) =>
      !sources.includes(`"${name}"`) &&
      !sources.includes(`"${name.replace(HISTOGRAM_PART, "")}"`)
    )
    .map((name) => `${page.name}: metric "${name}" is not in the code`);
  const names = [...page.text.matchAll(NAME)]
    .map(([, name]) => name)
    .filter((name) => !name.startsWith("umbermast_"))
    .filter((name) =>
      !sources.includes(`"${name}"`) && !sources.includes(`  ${name}:`)
    )
    .map((name) => `${page.name}: name "${name}" is not in the code`);
  return [...metrics, ...names];
}

function sourceText() {
  return filesUnder(join(root, "packages"), ".ts")
    .filter((path) => !path.endsWith("_test.ts"))
    .map((path) => readFileSync(path, "utf8"))
    .join("\n");
}

/** Runs the commands of the tour in order, in one shell. */
function runTour(pages, folder) {
  const tour = pages.flatMap(commandsIn).filter((command) =>
    COMMANDS.some(({ pattern, tour }) => tour && pattern.test(command))
  );
  const script = ["set -euo pipefail", ...tour].join("\n")
    .replaceAll("stack.json", join(folder, "stack.json"))
    .replaceAll("rows.csv", join(folder, "rows.csv"));
  execFileSync("bash", ["-c", script], {
    cwd: root,
    stdio: ["ignore", "ignore", 2],
    timeout: COMMAND_TIMEOUT_MS,
  });
}

/** Rejects with an error that names the operation if it takes too long. */
async function withTimeout(operation, name) {
  let timer;
  const timeout = new Promise((_resolve, reject) => {
    const error = new Error(`${name} takes over ${COMMAND_TIMEOUT_MS} ms`);
    timer = setTimeout(() => reject(error), COMMAND_TIMEOUT_MS);
  });
  try {
    return await Promise.race([operation, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Starts a server, and runs the tour with the addresses that it prints. */
async function serveCommand([program, ...args], pages) {
  const folder = mkdtempSync(join(tmpdir(), "umbermast-docs-"));
  const child = spawn(program, args, {
    cwd: root,
    stdio: ["ignore", "pipe", 2],
  });
  const ended = new Promise((resolve) => child.once("exit", resolve));
  try {
    const lines = createInterface({ input: child.stdout });
    const firstLine = new Promise((resolve) => {
      lines.once("line", resolve);
      lines.once("close", () => resolve(""));
    });
    const stackJson = await withTimeout(firstLine, `The start of "${program}"`);
    JSON.parse(stackJson);
    writeFileSync(join(folder, "stack.json"), stackJson);
    runTour(pages, folder);
  } finally {
    child.kill("SIGTERM");
    rmSync(folder, { recursive: true });
  }
  const code = await withTimeout(ended, `The end of "${program}"`);
  if (code !== 0) throw new Error(`"${program}" ended with ${code}`);
}

/** Checks that the daemon accepts the settings that pages show. */
function checkSettings(pages) {
  const folder = mkdtempSync(join(tmpdir(), "umbermast-docs-"));
  const file = join(folder, "settings.json");
  const daemon = join(root, "packages/daemon/dist/src/umbermastd.js");
  for (const page of pages) {
    for (const [, settings] of page.text.matchAll(SETTINGS)) {
      console.error(`Checking the settings that ${page.name} shows`);
      writeFileSync(file, settings);
      execFileSync(process.execPath, [daemon, "check", file], {
        stdio: ["ignore", "ignore", 2],
        timeout: COMMAND_TIMEOUT_MS,
      });
    }
  }
  rmSync(folder, { recursive: true });
}

async function runCommands(pages) {
  for (const { run, serve } of COMMANDS) {
    const command = run ?? serve;
    if (command === undefined) continue;
    console.error(`Running ${command.join(" ")}`);
    if (serve !== undefined) {
      await serveCommand(serve, pages);
      continue;
    }
    execFileSync(run[0], run.slice(1), {
      cwd: root,
      stdio: ["ignore", "ignore", 2],
      timeout: COMMAND_TIMEOUT_MS,
    });
  }
}

/** Finds pages that no other page links to. */
function orphanFindings(pages) {
  const linked = new Set();
  for (const page of pages) {
    for (const [, target] of page.text.matchAll(LINK)) {
      const [path] = target.split("#");
      if (path === "" || /^[a-z]+:/.test(path)) continue;
      const file = join(dirname(page.path), path);
      linked.add(file.replace(/\/$/, ""));
      linked.add(join(file, "README.md"));
    }
  }
  return pages
    .filter((page) => page.name !== "README.md" && !linked.has(page.path))
    .map((page) => `${page.name}: no page links to it`);
}

const sources = sourceText();
const pages = filesUnder(root, ".md").map((path) => ({
  path,
  name: relative(root, path),
  text: readFileSync(path, "utf8"),
}));
const findings = orphanFindings(pages);
findings.push(...pages.flatMap((page) => [
  ...linkFindings(page),
  ...pathFindings(page),
  ...commandFindings(page),
  ...(page.name.startsWith("docs/operators/")
    ? nameFindings(page, sources)
    : []),
]));
for (const finding of findings) console.error(finding);
if (findings.length > 0) process.exit(1);
if (process.argv.includes("--run")) {
  checkSettings(pages);
  await runCommands(pages);
}
