import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import process from "node:process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { startStack } from "../src/mod.ts";
import { LIMIT } from "./fixtures.ts";

const STACK = fileURLToPath(new URL("../src/stack.js", import.meta.url));

interface Described {
  readonly daemons: readonly {
    url: string;
    operatorUrl: string;
    pid: number;
  }[];
  readonly runners: readonly {
    name: string;
    url: string;
    service: string;
    pid: number;
  }[];
  readonly platform: { readonly url: string; readonly pid: number };
  readonly hosts: { readonly url: string };
  readonly keys: Readonly<Record<string, string>>;
  readonly operatorToken: string;
  readonly tableFile: string;
}

function runs(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

describe("stack", LIMIT, () => {
  it("tells where everything is, and ends it all at SIGTERM", async () => {
    const args = ["--daemons", "2", "--runners", "2", "--json"];
    const program = spawn(process.execPath, [STACK, ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    const ended = new Promise((resolve) => program.once("exit", resolve));
    let output = "";
    for await (const chunk of program.stdout) {
      output += chunk;
      if (output.includes("\n")) break;
    }
    const [line = ""] = output.split("\n");
    const described = JSON.parse(line) as Described;
    const { daemons, runners, platform } = described;
    const pids = [...daemons, ...runners, platform].map(({ pid }) => pid);
    assert.equal(daemons.length, 2);
    assert.deepEqual(runners.map(({ service }) => service), [
      "drafting-llm",
      "drafting-llm",
      "yard-app",
      "yard-app",
      "yard-app",
    ]);
    assert.equal(Object.keys(described.keys).length, 10);
    assert.ok(pids.every(runs));
    program.kill("SIGTERM");
    assert.equal(await ended, 0);
    assert.deepEqual(pids.filter(runs), []);
  });

  // A daemon refuses its settings after platform and runners have been started.
  // Nothing of them may stay behind.
  it("ends what was started when it fails half way", async () => {
    const pids: number[] = [];
    const started = startStack({
      started: (pid) => pids.push(pid),
      daemons: 1,
      runners: 1,
      plainRunners: 1,
      daemonSettings: { listen: { address: "127.0.0.1", port: "x" } },
    });
    await assert.rejects(started, /listen\/port/);
    assert.equal(pids.length, 4);
    assert.deepEqual(pids.filter(runs), []);
  });
});
