import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { fingerprintOf } from "./fingerprint.ts";
import type { FingerprintInput } from "./fingerprint.ts";

function inputOf(fields: Partial<FingerprintInput> = {}): FingerprintInput {
  return {
    host: "a.example",
    method: "POST",
    target: "/chat/?page=1",
    workspace: "office",
    body: Buffer.from("hello"),
    ...fields,
  };
}

test("attempts of one request have the same fingerprint", () => {
  assert.equal(fingerprintOf(inputOf()), fingerprintOf(inputOf()));
});

const VARIANTS: readonly Partial<FingerprintInput>[] = [
  { host: "b.example" },
  { method: "PUT" },
  { target: "/chat/?page=2" },
  { workspace: "field" },
  { workspace: undefined },
  { body: Buffer.from("hello!") },
  { target: "/chat/", body: Buffer.from("?page=1hello") },
];

test("requests that differ in any part have different fingerprints", () => {
  const fingerprints = new Set(
    [inputOf(), ...VARIANTS.map(inputOf)].map(fingerprintOf),
  );
  assert.equal(fingerprints.size, 1 + VARIANTS.length);
});
