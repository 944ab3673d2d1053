import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { fingerprintOf } from "./fingerprint.ts";
import type { FingerprintInput } from "./fingerprint.ts";

function asked(fields: Partial<FingerprintInput> = {}): FingerprintInput {
  return {
    host: "a.example",
    method: "POST",
    target: "/chat/?page=1",
    workspace: "office",
    body: Buffer.from("hello"),
    ...fields,
  };
}

test("tries of one request have one fingerprint", () => {
  assert.equal(fingerprintOf(asked()), fingerprintOf(asked()));
});

const OTHERS: readonly Partial<FingerprintInput>[] = [
  { host: "b.example" },
  { method: "PUT" },
  { target: "/chat/?page=2" },
  { workspace: "field" },
  { workspace: undefined },
  { body: Buffer.from("hello!") },
  { target: "/chat/", body: Buffer.from("?page=1hello") },
];

test("requests that differ in anything have other fingerprints", () => {
  const known = new Set([asked(), ...OTHERS.map(asked)].map(fingerprintOf));
  assert.equal(known.size, 1 + OTHERS.length);
});
