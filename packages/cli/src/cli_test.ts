import assert from "node:assert/strict";
import { test } from "node:test";
import { operatorsOf, run, storeWithTable } from "./fixtures.ts";

test("unknown commands and flags exit with 2, help with 0", async () => {
  assert.equal((await run("tabel get", {})).exit, 2);
  assert.equal((await run("table get --colour", {})).exit, 2);
  const help = await run("table set --help", {});
  assert.equal(help.exit, 0);
  assert.match(help.out, /Example:/);
  const whole = await run("--help", {});
  assert.match(whole.out, /Exit codes:/);
});

test("missing and malformed settings exit with 2 and name the flags", async () => {
  const missing = await run("table get", {});
  assert.equal(missing.exit, 2);
  assert.match(missing.error, /--platform-url/);
  const malformed = await run(
    "status --operator-url ftp://x --operator-url nonsense --json",
    {},
  );
  assert.equal(malformed.exit, 2);
  assert.deepEqual(JSON.parse(malformed.out).error.findings, [
    'Expected an http URL, got "ftp://x"',
    'Expected an http URL, got "nonsense"',
  ]);
  const unread = await run("status --config /nothing/here.json", {});
  assert.match(unread.error, /Cannot read settings/);
});

test("global flags are taken before and after the command", async () => {
  const store = await storeWithTable();
  for (const words of ["--json table get", "table get --json"]) {
    const { out } = await run(words, { store });
    assert.equal(JSON.parse(out).version, 1);
  }
});

const URLS = { env: { UMBERMAST_OPERATOR_URLS: "http://a,http://b" } };

test("status shows a line per daemon and exits with 4 when one is silent", async () => {
  const operators = operatorsOf((url) =>
    url === "http://a" ? { name: "a", table: { version: 7 } } : undefined
  );
  const { exit, out } = await run("status", { operators }, URLS);
  assert.equal(exit, 4);
  assert.equal(
    out,
    `url       name  table.version  unreachable
http://a  a                 7  -
http://b  -                 -  connect ECONNREFUSED
`,
  );
});

test("runners are listed from any daemon that answers", async () => {
  const runners = [{ name: "r1", service: "drafting-llm", port: 1 }];
  const operators = operatorsOf((url) =>
    url === "http://b" ? { runners } : undefined
  );
  const { exit, out } = await run("runners", { operators }, URLS);
  assert.equal(exit, 0);
  assert.match(out, /^name +service +port\nr1 +drafting-llm +1\n$/);
  const json = await run("runners --json", { operators }, URLS);
  assert.deepEqual(JSON.parse(json.out), { from: "http://b", runners });
});

test("why gathers decisions over all daemons and escapes them", async () => {
  const operators = operatorsOf((url, path) => {
    assert.equal(path, "/decisions?request=id%201");
    return {
      decisions: url === "http://b" ? ["route chosen=r1\u001b]0;x\u0007"] : [],
    };
  });
  const { exit, out } = await run(["why", "id 1"], { operators }, URLS);
  assert.equal(exit, 0);
  assert.equal(out, "route chosen=r1\\u001b]0;x\\u0007\n");
});

test("why fails when nobody remembers, and says who was not asked", async () => {
  const operators = operatorsOf((url) =>
    url === "http://a" ? { decisions: [] } : undefined
  );
  const { exit, error } = await run("why x", { operators }, URLS);
  assert.equal(exit, 4);
  assert.match(error, /not asked: http:\/\/b/);
});

test("no daemon at all exits with 4", async () => {
  const operators = operatorsOf(() => undefined);
  const { exit, error } = await run("daemons", { operators }, URLS);
  assert.equal(exit, 4);
  assert.match(error, /http:\/\/b: connect ECONNREFUSED/);
});
