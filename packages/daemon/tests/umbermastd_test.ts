import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const PROGRAM = fileURLToPath(new URL("../src/umbermastd.js", import.meta.url));

function exampleSettings(port = 0) {
  return {
    name: "entry-1",
    region: "kingston",
    failureDomain: "portmore",
    listen: { address: "127.0.0.1", port },
    operators: { address: "127.0.0.1", port: 0, token: "operators-token" },
    peers: { address: "127.0.0.1", port: 0, key: "peers-shared-key" },
    platform: { url: "http://127.0.0.1:1" },
  };
}

/** Writes a settings file that goes with the test. */
function settingsFile(context: TestContext, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), "umbermastd-"));
  context.after(() => rmSync(folder, { recursive: true }));
  const file = join(folder, "settings.json");
  writeFileSync(file, text);
  return file;
}

function start(args: readonly string[]) {
  return spawn(process.execPath, [PROGRAM, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
  });
}

/** Runs the program to its end. */
async function run(args: readonly string[]) {
  const child = start(args);
  let output = "";
  let errors = "";
  child.stdout.setEncoding("utf8").on("data", (text) => output += text);
  child.stderr.setEncoding("utf8").on("data", (text) => errors += text);
  const [status] = await once(child, "close");
  return { status, output, errors };
}

test("check accepts good settings", async (context) => {
  const file = settingsFile(context, JSON.stringify(exampleSettings()));
  const { status, output } = await run(["check", file]);
  assert.equal(status, 0);
  assert.match(output, /settings are valid/);
});

test("bad settings are reported together, and the status is 78", async (context) => {
  const settings = { ...exampleSettings(), listen: { port: "x" }, colour: 1 };
  const file = settingsFile(context, JSON.stringify(settings));
  for (const args of [["check", file], ["--settings", file]]) {
    const { status, errors } = await run(args);
    assert.equal(status, 78);
    assert.deepEqual(errors.trim().split("\n").sort(), [
      "/colour: no such setting",
      "/listen/address: expected an IP address, got nothing",
      '/listen/port: expected an integer from 0 to 65535, got "x"',
    ]);
  }
});

test("a settings file that cannot be read is a bad setting", async () => {
  const { status, errors } = await run(["check", "/no/such/file"]);
  assert.equal(status, 78);
  assert.match(errors, /Cannot read settings/);
});

test("a port that is taken ends the program with what is wrong", async (context) => {
  const holder = createServer().listen(0, "127.0.0.1");
  await once(holder, "listening");
  context.after(() => holder.close());
  const { port } = holder.address() as AddressInfo;
  const file = settingsFile(context, JSON.stringify(exampleSettings(port)));
  const { status, errors } = await run(["--settings", file]);
  assert.equal(status, 1);
  assert.match(errors, new RegExp(`Cannot listen on 127.0.0.1 port ${port}`));
});

// The reader of the log goes away, and later SIGTERM comes. The log's broken pipe
// must not end the daemon, which may have answers under way.
test("SIGTERM before the daemon is ready ends it with 0, also without a log's reader", async (context) => {
  const file = settingsFile(context, JSON.stringify(exampleSettings()));
  const child = start(["--settings", file]);
  const closed = once(child, "close");
  let output = "";
  for await (const text of child.stdout.setEncoding("utf8")) {
    output += text;
    if (output.includes("event=listening")) break;
  }
  child.kill("SIGTERM");
  const [status] = await closed;
  assert.equal(status, 0);
});
