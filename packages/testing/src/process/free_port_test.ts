import assert from "node:assert/strict";
import { test } from "node:test";
import { freePort } from "./free_port.ts";

// A process of a test cannot listen, because two of its ports are the same one:
// each was free when it was drawn, and nothing listened before both were used.
test("no port is given twice, though nothing listens on it yet", async () => {
  const ports: number[] = [];
  for (let count = 0; count < 200; count++) ports.push(await freePort());
  assert.equal(new Set(ports).size, ports.length);
});
