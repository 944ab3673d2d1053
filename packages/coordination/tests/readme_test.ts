import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const README = fileURLToPath(new URL("../../README.md", import.meta.url));
/** Within the package, so that the example resolves its imports. */
const BUILT = fileURLToPath(new URL("..", import.meta.url));
const EXAMPLE = /```js\n([\s\S]*?)```/;
const COMMANDS = /^node member\.mjs (.*)$/gm;

/** Writes the README's first example to a file. */
function exampleFile(): { readonly folder: string; readonly file: string } {
  const example = EXAMPLE.exec(readFileSync(README, "utf8"))?.[1];
  assert.ok(example, "README.md has no example");
  const folder = mkdtempSync(join(BUILT, "readme-"));
  const file = join(folder, "member.mjs");
  writeFileSync(file, example);
  return { folder, file };
}

/**
 * The parameters of the README's commands, with ports replaced by free ones.
 */
function parametersOf(ports: ReadonlyMap<string, string>) {
  const text = readFileSync(README, "utf8");
  return [...text.matchAll(COMMANDS)].map(([, parameters = ""]) =>
    parameters.split(" ").map((word) => ports.get(word) ?? word)
  );
}

/** A process of the example, with a way to wait for lines of its output. */
class Example {
  readonly #child: ChildProcess;
  readonly #lines: string[] = [];
  readonly #ended: Promise<number | null>;
  #onLine: (() => void) | undefined;

  constructor(file: string, parameters: readonly string[]) {
    this.#child = spawn(process.execPath, [file, ...parameters], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    assert.ok(this.#child.stdout);
    createInterface({ input: this.#child.stdout }).on("line", (line) => {
      this.#lines.push(line);
      this.#onLine?.();
    });
    this.#ended = new Promise((resolve) => this.#child.on("close", resolve));
  }

  line(pattern: RegExp): Promise<string> {
    return new Promise((resolve) => {
      const check = () => {
        const found = this.#lines.find((line) => pattern.test(line));
        if (found !== undefined) resolve(found);
      };
      this.#onLine = check;
      check();
    });
  }

  end(signal: NodeJS.Signals): Promise<number | null> {
    this.#child.kill(signal);
    return this.#ended;
  }
}

test("the README's two processes discover each other, exchange messages and leave", async () => {
  const { folder, file } = exampleFile();
  const running: Example[] = [];
  try {
    const free = new Map([["7101", "0"], ["7102", "0"]]);
    const first = new Example(file, parametersOf(free)[0] ?? []);
    running.push(first);
    const listens = await first.line(/ listens on port \d+$/);
    const port = /\d+$/.exec(listens)?.[0] ?? "";
    free.set("7101", port);
    const second = new Example(file, parametersOf(free)[1] ?? []);
    running.push(second);
    await second.line(/^half-way-tree answers "hello portmore"$/);
    await first.line(/^half-way-tree sees half-way-tree,portmore$/);
    assert.equal(await second.end("SIGTERM"), 0);
    await first.line(/^half-way-tree sees half-way-tree$/);
    assert.equal(await first.end("SIGTERM"), 0);
  } finally {
    await Promise.all(running.map((example) => example.end("SIGKILL")));
    rmSync(folder, { recursive: true });
  }
});
