import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

// Both paths are relative to the built test in dist/tests.
const README = fileURLToPath(new URL("../../README.md", import.meta.url));
/** The example is written here, so that its imports of this package resolve. */
const BUILD_FOLDER = fileURLToPath(new URL("..", import.meta.url));
const EXAMPLE = /```js\n([\s\S]*?)```/;
const COMMANDS = /^node member\.mjs (.*)$/gm;

/** Writes the README's first example to a file. */
function writeExample(): { readonly folder: string; readonly file: string } {
  const example = EXAMPLE.exec(readFileSync(README, "utf8"))?.[1];
  assert.ok(example, "README.md has no example");
  const folder = mkdtempSync(join(BUILD_FOLDER, "readme-"));
  const file = join(folder, "member.mjs");
  writeFileSync(file, example);
  return { folder, file };
}

/**
 * Returns the arguments of the README's commands, with each port replaced by its
 * value in `portReplacements`.
 */
function commandArguments(portReplacements: ReadonlyMap<string, string>) {
  const text = readFileSync(README, "utf8");
  return [...text.matchAll(COMMANDS)].map(([, args = ""]) =>
    args.split(" ").map((word) => portReplacements.get(word) ?? word)
  );
}

/** A process of the example, with a way to wait for lines of its output. */
class Example {
  readonly #child: ChildProcess;
  readonly #lines: string[] = [];
  readonly #ended: Promise<number | null>;
  #onLine: (() => void) | undefined;

  constructor(file: string, args: readonly string[]) {
    this.#child = spawn(process.execPath, [file, ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    assert.ok(this.#child.stdout);
    createInterface({ input: this.#child.stdout }).on("line", (line) => {
      this.#lines.push(line);
      this.#onLine?.();
    });
    this.#ended = new Promise((resolve) => this.#child.on("close", resolve));
  }

  /**
   * Waits for a line, which may have been printed earlier. Only one call may be
   * pending at a time.
   */
  waitForLine(pattern: RegExp): Promise<string> {
    return new Promise((resolve) => {
      const check = () => {
        const found = this.#lines.find((line) => pattern.test(line));
        if (found !== undefined) resolve(found);
      };
      this.#onLine = check;
      check();
    });
  }

  /** Sends a signal and returns the exit code. */
  signalAndWait(signal: NodeJS.Signals): Promise<number | null> {
    this.#child.kill(signal);
    return this.#ended;
  }
}

test("the README's two processes discover each other, exchange messages and leave", async () => {
  const { folder, file } = writeExample();
  const running: Example[] = [];
  try {
    // Port 0 lets the system select a free port.
    const ports = new Map([["7101", "0"], ["7102", "0"]]);
    const first = new Example(file, commandArguments(ports)[0] ?? []);
    running.push(first);
    const listenLine = await first.waitForLine(/ listens on port \d+$/);
    const port = /\d+$/.exec(listenLine)?.[0] ?? "";
    ports.set("7101", port);
    const second = new Example(file, commandArguments(ports)[1] ?? []);
    running.push(second);
    await second.waitForLine(/^half-way-tree answers "hello portmore"$/);
    await first.waitForLine(/^half-way-tree sees half-way-tree,portmore$/);
    assert.equal(await second.signalAndWait("SIGTERM"), 0);
    await first.waitForLine(/^half-way-tree sees half-way-tree$/);
    assert.equal(await first.signalAndWait("SIGTERM"), 0);
  } finally {
    await Promise.all(
      running.map((example) => example.signalAndWait("SIGKILL")),
    );
    rmSync(folder, { recursive: true });
  }
});
