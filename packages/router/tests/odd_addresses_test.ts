import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "./fixtures.ts";
import { TcpPeerNetwork } from "../src/connection/peer_network.ts";
import { unpackMessage } from "../src/connection/peer_encoding.ts";
import { parseSettings } from "../src/process/settings.ts";

const ODD_ADDRESSES = [
  "127.0.0.1:65536",
  "127.0.0.1:99999",
  "127.0.0.1:-1",
  "127.0.0.1:1e9",
  "127.0.0.1:NaN",
  "127.0.0.1",
  "",
  ":",
  "a:b:c",
];

// Guards against an error in a timer, which ends the daemon: Node throws on a port that
// is out of range, as one seed or contact may have.
for (const address of ODD_ADDRESSES) {
  test(`the address "${address}" cannot be dialled`, async () => {
    const network = new TcpPeerNetwork({
      acceptTunnel: () => ({ incompleteBytes: 0 }),
      limits: { connections: 10, heldBytes: 1_000_000 },
      log: SILENT_LOG,
    });
    await new Promise<void>((failed, reject) => {
      network.dial(address, { opened: reject, failed });
    });
  });

  test(`the address "${address}" is no contact`, () => {
    const hello = {
      kind: "hello",
      protocol: 4,
      name: "a",
      incarnation: "1",
      address,
      failureDomain: "z",
      linkMbps: 0,
      known: [["b", "1", address, "z", 0], ["c", "1", "127.0.0.1:1", "z", 0]],
    };
    assert.throws(() => unpackMessage(hello), /Invalid hello/);
    const sound = unpackMessage({ ...hello, address: "127.0.0.1:2" });
    assert.ok(sound.kind === "hello");
    assert.deepEqual(sound.known.map(({ name }) => name), ["c"]);
  });
}

test("settings name ports and windows that are out of range", () => {
  const settings = { callers: "127.0.0.1:65536", retries: { windowMs: 0 } };
  const findings = parseSettings(JSON.stringify(settings))._unsafeUnwrapErr();
  const places = findings.map(({ place }) => place);
  assert.ok(places.includes("callers"));
  assert.ok(places.includes("retries.windowMs"));
});
