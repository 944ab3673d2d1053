import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { encodeItem } from "@umbermast/coordination/codec";
import { encodeFrame } from "@umbermast/coordination/frame_bytes";
import { testUpdate } from "../../tests/fixtures.ts";
import type { CrashAges } from "./crash_ages.ts";
import { encodeMessage, IDLE_TIMEOUT_MS, PeerLink } from "./peer_link.ts";
import { NO_LOAD } from "../process/load_totals.ts";
import { PROTOCOL_VERSION } from "./peer_message.ts";
import type { PeerMessage } from "./peer_message.ts";

const WANT: PeerMessage = {
  kind: "want",
  configuration: true,
  runnersSince: undefined,
  parts: false,
};

/** A link whose far end the test writes byte by byte. */
async function openLink(
  context: TestContext,
  onMessage: (message: PeerMessage) => void,
) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const far = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [near] = await once(server, "connection");
  const faults: string[] = [];
  let onClose = () => {};
  const closed = new Promise<void>((resolve) => onClose = resolve);
  const link = new PeerLink(near, {
    onMessage,
    onClose,
    onFault: (reason) => faults.push(reason),
  });
  context.after(() => {
    server.close();
    far.destroy();
  });
  return { link, far, closed, faults };
}

test("messages arrive whole, however their bytes are cut", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const bytes = Buffer.concat([encodeMessage(WANT), encodeMessage(WANT)]);
  for (const byte of bytes) far.write(Buffer.from([byte]));
  far.end();
  await closed;
  assert.deepEqual(received, [WANT, WANT]);
});

// States are nearly all that daemons send. With the names of all fields they
// took up slow links: what one daemon knew of a runner reached the others after
// a second, and prompts were read again at a third of all requests.
test("a state arrives as it was, in a third of its plain size", async (t) => {
  const state = testUpdate({
    configuration: 3,
    runners: 700,
    loads: Array.from({ length: 8 }, (_, index) => ({
      runner: `i-00ff00ff0${index}`,
      inFlight: 2,
      unreadTokens: 17_000,
      workTokens: 30_000,
      memoryTokens: 40_000,
      tight: 0,
      answered: 70,
      failed: 9,
      waiting: [{
        rank: 2,
        ageMs: 400,
        leftMs: 500,
        requests: 1,
        unreadTokens: 16_000,
      }],
    })),
    parts: [{
      runner: "i-00ff00ff00",
      read: true,
      parts: [{ id: "104e7d4de2c2", tokens: 13_300 }],
    }],
    members: { fleet: 13, domain: 13 },
  });
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const frame = encodeMessage(state);
  far.end(frame);
  await closed;
  assert.deepEqual(received, [state]);
  assert.ok(frame.length < encodeItem(state).length * 0.4, `${frame.length}`);
});

// A daemon of another version sends a message of another shape. The handler
// throws; without a guard around it the whole process would end, on every host
// that the new version reaches.
test("a message that cannot be taken closes the link, not the process", async (t) => {
  const { far, closed, faults } = await openLink(t, () => {
    throw new TypeError("no loads");
  });
  far.write(encodeMessage(WANT));
  await closed;
  assert.deepEqual(faults, ["TypeError: no loads"]);
});

test("a frame that is too long closes the link", async (t) => {
  const { far, closed } = await openLink(t, () => {});
  far.write(Buffer.from([0xff, 0xff, 0xff, 0xff]));
  await closed;
});

// A daemon with a fault tells that less than nothing is at a runner. Added up, it
// would draw the requests of all daemons to that runner; only its link may suffer.
test("a sum that cannot be closes the link", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed, faults } = await openLink(
    t,
    (message) => received.push(message),
  );
  far.end(encodeMessage(testUpdate({
    loads: [{ ...NO_LOAD, runner: "r", inFlight: -40, waiting: [] }],
  })));
  await closed;
  assert.deepEqual(received, []);
  assert.equal(faults.length, 1);
  assert.match(faults[0]!, /"inFlight"/);
});

const CRASHES: CrashAges = {
  crashed: [{
    runner: "r",
    runs: [
      { fingerprint: "one", beganAgoMs: 90, endedAgoMs: 40 },
      { fingerprint: "two", beganAgoMs: 70, endedAgoMs: 40 },
    ],
  }],
  answers: [{ fingerprint: "three", agoMs: 10 }],
};

test("what ended runners arrives as it was", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const state = testUpdate({ crashes: CRASHES });
  far.end(encodeMessage(state));
  await closed;
  assert.deepEqual(received, [state]);
});

test("an age that cannot be closes the link", async (t) => {
  const { far, closed, faults } = await openLink(t, () => {});
  const [answer] = CRASHES.answers;
  const crashes = { crashed: [], answers: [{ ...answer!, agoMs: NaN }] };
  far.end(encodeMessage(testUpdate({ crashes })));
  await closed;
  assert.match(faults[0]!, /"crashes.agoMs"/);
});

// Guards against daemons that lose their links while a fleet is replaced in a roll.
test("a daemon that has no word for crashes is understood", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const fields = [1, 1, false, [], [], 1, 1, [], []];
  far.end(encodeFrame([encodeItem(fields)]));
  await closed;
  assert.deepEqual(received, [testUpdate()]);
});

// One contact of many is no address. The others are as good as ever.
test("a contact that cannot be dialled is left out", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const sound = {
    name: "host-2",
    incarnation: "1",
    address: "10.0.0.2:8229",
    failureDomain: "a",
    linkMbps: 10,
  };
  const known = [sound, { ...sound, address: "nowhere" }];
  const hello = {
    kind: "hello",
    protocol: PROTOCOL_VERSION,
    ...sound,
    known,
  } as const;
  far.end(encodeMessage(hello));
  await closed;
  assert.deepEqual(received, [{ ...hello, known: [sound] }]);
});

// Guards against a dead head whose failure domain nobody hears of for eleven seconds.
test("a link closes when nothing comes, though this side goes on telling", async (t) => {
  const { link, closed } = await openLink(t, () => {});
  const telling = setInterval(() => link.send(WANT), 100);
  t.after(() => clearInterval(telling));
  const late = new Promise<string>((resolve) => {
    const timer = setTimeout(() => resolve("still up"), 3 * IDLE_TIMEOUT_MS);
    t.after(() => clearTimeout(timer));
  });
  assert.equal(
    await Promise.race([closed.then(() => "closed"), late]),
    "closed",
  );
});
