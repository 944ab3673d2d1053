import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSettings, parseSettings } from "./settings.ts";

function exampleSettings(
  over: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  return {
    name: "portmore-1",
    region: "kingston",
    failureDomain: "portmore",
    listen: { address: "127.0.0.1", port: 0 },
    operators: { address: "127.0.0.1", port: 0, token: "operators-token" },
    peers: { address: "::1", port: 7000, key: "peers-shared-key" },
    platform: { url: "http://127.0.0.1:8080" },
    ...over,
  };
}

function findingsOf(value: unknown): readonly string[] {
  const checked = checkSettings(value);
  return checked.isErr() ? checked.error.map(({ text }) => text) : [];
}

test("omitted optional settings get their defaults", () => {
  const settings = checkSettings(exampleSettings())._unsafeUnwrap();
  assert.equal(settings.scheduler, "umbermast");
  assert.equal(settings.limits.bodyBytes, 8_388_608);
  assert.equal(settings.scheduling.switches.tiers, true);
  assert.equal(settings.retries.share, 0.1);
  assert.equal(settings.shutdown.graceMs, 300_000);
});

test("a section may set some of its settings and omit the others", () => {
  const settings = checkSettings(
    exampleSettings({ limits: { connections: 5 } }),
  )._unsafeUnwrap();
  assert.equal(settings.limits.connections, 5);
  assert.equal(settings.limits.idleCallerMs, 60_000);
});

test("settings of claims have defaults and are validated", () => {
  const settings = checkSettings(exampleSettings())._unsafeUnwrap();
  assert.deepEqual(settings.claims, {
    windowMs: 600_000,
    partitions: 8,
    maxAnswerBytes: 4_096,
    batchMs: 1,
    writesPerSecond: 112,
  });
  const claims = { windowMs: 1, partitions: 0, batchMs: -1 };
  assert.deepEqual([...findingsOf(exampleSettings({ claims }))].sort(), [
    "/claims/batchMs: expected an integer from 0 to 500, got -1",
    "/claims/partitions: expected an integer from 1 to 32, got 0",
    "/claims/windowMs: expected an integer from 10000 to 86400000, got 1",
  ]);
});

test("all findings are reported together, each with its pointer", () => {
  const findings = findingsOf(exampleSettings({
    listen: { address: "here", port: "x" },
    scheduler: "lifo",
    limits: { bodyBytes: 1.5 },
    "a/b~c": 1,
  }));
  assert.deepEqual([...findings].sort(), [
    "/a~1b~0c: no such setting",
    "/limits/bodyBytes: expected an integer from 1 to 67108864, got 1.5",
    '/listen/address: expected an IP address, got "here"',
    '/listen/port: expected an integer from 0 to 65535, got "x"',
    '/scheduler: expected one of "umbermast", "fifo", "random", got "lifo"',
  ]);
});

test("a missing setting is reported with the expected value", () => {
  const { region: _region, ...rest } = exampleSettings();
  assert.deepEqual(findingsOf({ ...rest, platform: {} }), [
    "/region: expected a name of 1 to 63 letters, digits, dots, hyphens and underscores, got nothing",
    "/platform/url: expected a URL that starts with http://, got nothing",
  ]);
});

test("an invalid secret is reported without its value", () => {
  const operators = { address: "::1", port: 1, token: "hunter2" };
  const peers = { address: "::1", port: 1, key: 12_345_678 };
  const findings = findingsOf(exampleSettings({ operators, peers }));
  assert.equal(findings.length, 2);
  for (const finding of findings) {
    assert.match(finding, /got a value that is not shown$/);
    assert.doesNotMatch(finding, /hunter2|12345678/);
  }
});

test("an invalid value of the whole file or of a section is reported", () => {
  assert.deepEqual(findingsOf([]), [": expected an object, got an array"]);
  const findings = findingsOf(exampleSettings({ limits: null }));
  assert.deepEqual(findings, ["/limits: expected an object, got null"]);
});

test("a file that is not JSON is reported without its text", () => {
  const checked = parseSettings('{"token": hunter2}');
  const [finding] = checked._unsafeUnwrapErr();
  assert.equal(finding?.text, ": expected JSON, got SyntaxError");
});
