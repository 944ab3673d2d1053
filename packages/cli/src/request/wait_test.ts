import assert from "node:assert/strict";
import { test } from "node:test";
import { operatorsOf, run, storeWithTable } from "../fixtures.ts";

test("--wait returns once every live daemon has the version, naming those that have not", async () => {
  const store = await storeWithTable();
  const daemons = { daemons: [{ name: "a", state: "alive" }] };
  const env = { UMBERMAST_OPERATOR_URLS: "http://a,http://b" };
  let asked = 0;
  const catching = operatorsOf((url, path) => {
    if (url === "http://b") return undefined;
    if (path === "/daemons") return daemons;
    asked += 1;
    return { name: "a", version: asked < 3 ? 1 : 2 };
  });
  const done = await run(
    "table set quote office weight=3 --yes --wait",
    { store, operators: catching },
    { env },
  );
  assert.equal(done.exit, 0);
  assert.match(done.out, /In force at 1 daemon, all that are live/);
  const stuck = operatorsOf((url, path) => {
    if (path === "/daemons") {
      return {
        daemons: [...daemons.daemons, { name: "b", state: "suspect" }],
      };
    }
    return url === "http://a" ? { name: "a", version: 1 } : undefined;
  });
  const behind = await run(
    "table set quote office weight=4 --yes --wait --wait-timeout 0.05 --json",
    { store, operators: stuck },
    { env },
  );
  assert.equal(behind.exit, 1);
  assert.deepEqual(JSON.parse(behind.out).behind, [
    { url: "http://a", name: "a", version: 1 },
    { name: "b", reason: "It could not be asked" },
  ]);
});

test("--wait without a daemon's URL changes nothing", async () => {
  const store = await storeWithTable();
  const words = "table set quote office weight=3 --yes --wait";
  const { exit, error } = await run(words, { store });
  assert.equal(exit, 2);
  assert.match(error, /operator_url_missing/);
  assert.match((await run("table get", { store })).out, /Version 1/);
});

test("an accepted version is offered to the daemons", async () => {
  const store = await storeWithTable();
  const offered: string[] = [];
  const operators = operatorsOf(() => undefined, (url, body) => {
    const { version, value } = body as {
      readonly version: number;
      readonly value: { readonly sequence: number };
    };
    offered.push(`${url} ${version} ${value.sequence}`);
    return url === "http://b" ? {} : undefined;
  });
  const env = { UMBERMAST_OPERATOR_URLS: "http://a,http://b" };
  const { exit } = await run(
    "table set quote office weight=3 --yes",
    { store, operators },
    { env },
  );
  assert.equal(exit, 0);
  assert.deepEqual(offered, ["http://a 2 2", "http://b 2 2"]);
});
