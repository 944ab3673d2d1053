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
import { packMessage } from "./peer_encoding.ts";
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

/** A link, with the socket at its remote end. */
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
  const invalidEntries: string[] = [];
  let onClose = () => {};
  const closed = new Promise<void>((resolve) => onClose = resolve);
  const link = new PeerLink(near, {
    onMessage,
    onClose,
    onFault: (reason) => faults.push(reason),
    onInvalidEntry: (reason) => invalidEntries.push(reason),
  });
  context.after(() => {
    server.close();
    far.destroy();
  });
  return { link, far, closed, faults, invalidEntries };
}

test("messages are reassembled from single bytes", async (t) => {
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

// State updates are nearly all of the traffic between daemons. With field names
// they saturated slow links: loads reached other daemons after a second, and at
// a third of all requests a cached prompt was prefilled again.
test("a state update is decoded unchanged and encoded without field names", async (t) => {
  const state = testUpdate({
    configuration: 3,
    runners: 700,
    loads: Array.from({ length: 8 }, (_, index) => ({
      runner: `i-00ff00ff0${index}`,
      inFlight: 2,
      unreadTokens: 17_000,
      workTokens: 30_000,
      memoryTokens: 40_000,
      tightStreams: 0,
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

// A daemon of another version sends a message of another shape, and the handler
// throws. Uncaught, the error would end the process on every host that the new
// version reaches.
test("a message whose handler throws closes the link, not the process", async (t) => {
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

const LOAD = { ...NO_LOAD, runner: "r", waiting: [] };
const FIGURES = Object.keys(NO_LOAD) as (keyof typeof NO_LOAD)[];

// Guards against figures that attract the requests of all daemons to a runner, and
// against a link that ends for one of them: its receiver then gets no versions.
for (const figure of FIGURES) {
  test(`a load with an invalid "${figure}" is left out, and the rest counts`, async (t) => {
    const received: PeerMessage[] = [];
    const { far, closed, faults, invalidEntries } = await openLink(
      t,
      (message) => received.push(message),
    );
    const valid = { ...LOAD, runner: "s", inFlight: 1 };
    const invalid = [-40, -1.8e-15, Infinity, NaN, 2 ** 53];
    for (const value of invalid) {
      const loads = [{ ...LOAD, [figure]: value }, valid];
      far.write(encodeMessage(testUpdate({ configuration: 20, loads })));
    }
    far.end();
    await closed;
    const expected = testUpdate({
      configuration: 20,
      loads: [valid],
      unreadableLoads: ["r"],
    });
    assert.deepEqual(received, invalid.map(() => expected));
    assert.deepEqual(faults, []);
    assert.equal(invalidEntries.length, invalid.length);
    for (const reason of invalidEntries) {
      assert.ok(reason.includes(`"${figure}"`), reason);
    }
  });
}

for (const figure of ["requests", "unreadTokens"]) {
  test(`a load with invalid waiting "${figure}" is left out`, async (t) => {
    const received: PeerMessage[] = [];
    const { far, closed, invalidEntries } = await openLink(
      t,
      (message) => received.push(message),
    );
    const waiting = {
      rank: 2,
      ageMs: 400,
      leftMs: 500,
      requests: 1,
      unreadTokens: 16_000,
      [figure]: -1,
    };
    far.end(encodeMessage(testUpdate({
      loads: [{ ...LOAD, waiting: [waiting] }],
    })));
    await closed;
    assert.deepEqual(received, [testUpdate({ unreadableLoads: ["r"] })]);
    assert.ok(invalidEntries[0]?.includes(`"waiting.${figure}"`));
  });
}

test("a load of another layout closes the link", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed, faults } = await openLink(
    t,
    (message) => received.push(message),
  );
  const fields = [1, 1, false, [["r", 0, 0, 0, 0, 0]], [], 1, 1, [], []];
  far.write(encodeFrame([encodeItem(fields)]));
  await closed;
  assert.deepEqual(received, []);
  assert.equal(faults.length, 1);
});

test("invalid single values of an update are left out, and the rest counts", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed, invalidEntries } = await openLink(
    t,
    (message) => received.push(message),
  );
  far.end(encodeMessage(testUpdate({
    configuration: 20,
    members: { fleet: -1, domain: 1 },
    timeMs: Infinity,
    lease: { revision: 1, holderId: "a", agoMs: NaN },
    limits: [{ runner: "r", agoMs: 1, perS: -2 }],
    draining: [{ runner: "r", agoMs: -1 }],
    usage: [{ incarnation: "a", window: 1, counts: [["w", -1]] }],
  })));
  await closed;
  const expected = testUpdate({ configuration: 20, members: undefined });
  assert.deepEqual(received, [expected]);
  assert.equal(invalidEntries.length, 6);
});

const CRASHES: CrashAges = {
  crashed: [{
    runner: "r",
    runs: [
      { suspect: "one", startedAgoMs: 90, endedAgoMs: 40 },
      { suspect: "two", startedAgoMs: 70, endedAgoMs: 40 },
    ],
  }],
  responses: [{ suspect: "three", agoMs: 10 }],
};

test("a crash report is decoded unchanged", async (t) => {
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

test("a report with an invalid age is left out, and the rest counts", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed, faults, invalidEntries } = await openLink(
    t,
    (message) => received.push(message),
  );
  const [crash] = CRASHES.crashed;
  const [run] = crash!.runs;
  const crashes = {
    crashed: [{
      runner: "r",
      runs: [
        ...crash!.runs,
        { ...run!, suspect: "late", startedAgoMs: -1 },
        { ...run!, suspect: "never", endedAgoMs: Infinity },
      ],
    }],
    responses: [
      { suspect: "four", agoMs: NaN },
      ...CRASHES.responses,
    ],
  };
  far.end(encodeMessage(testUpdate({ crashes })));
  await closed;
  assert.deepEqual(received, [testUpdate({ crashes: CRASHES })]);
  assert.deepEqual(faults, []);
  const fields = invalidEntries.map((reason) => /"(.*?)"/.exec(reason)?.[1]);
  assert.deepEqual(fields, [
    "crashes.startedAgoMs",
    "crashes.endedAgoMs",
    "crashes.agoMs",
  ]);
});

// Guards against links that break during a rolling update, because older
// daemons omit the optional fields.
test("an update without the optional fields is accepted", async (t) => {
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

// Guards against other messages where usage is not reported, and against ends that
// other versions would read as another field.
test("ends of usage windows are the tenth optional field, if there are any", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  assert.equal((packMessage(testUpdate()) as unknown[]).length, 9);
  const ends = [
    { incarnation: "a", window: 7, left: false },
    { incarnation: "b", window: 7, left: false },
    { incarnation: "c", window: 7, left: true },
  ];
  const state = testUpdate({ ends });
  assert.deepEqual((packMessage(state) as unknown[])[18], [
    [7, false, ["a", "b"]],
    [7, true, ["c"]],
  ]);
  far.write(encodeMessage(state));
  const invalid = (packMessage(testUpdate()) as unknown[]).concat(
    Array(9).fill(undefined),
    ["none"],
  );
  far.end(encodeFrame([encodeItem(invalid)]));
  await closed;
  assert.deepEqual(received, [
    state,
    testUpdate({ ends: [{ incarnation: "", window: NaN, left: false }] }),
  ]);
});

// Guards against the loss of the last usage counts of a daemon that stops.
test("a link that ends delivers what was sent before", async (t) => {
  const { link, far, closed } = await openLink(t, () => {});
  const frame = encodeMessage(testUpdate({ runners: 700 }));
  const chunks: Buffer[] = [];
  far.on("data", (chunk: Buffer) => chunks.push(chunk));
  for (let sent = 0; sent < 1_000; sent++) link.sendEncoded(frame);
  link.end();
  link.sendEncoded(frame);
  await closed;
  assert.equal(Buffer.concat(chunks).length, 1_000 * frame.length);
});

// Guards against one invalid address that makes all contacts of a message
// unusable.
test("a contact with an invalid address is skipped", async (t) => {
  const received: PeerMessage[] = [];
  const { far, closed } = await openLink(
    t,
    (message) => received.push(message),
  );
  const valid = {
    name: "host-2",
    incarnation: "1",
    address: "10.0.0.2:8229",
    failureDomain: "a",
    linkMbps: 10,
  };
  const known = [valid, { ...valid, address: "nowhere" }];
  const hello = {
    kind: "hello",
    protocol: PROTOCOL_VERSION,
    ...valid,
    known,
  } as const;
  far.end(encodeMessage(hello));
  await closed;
  assert.deepEqual(received, [{ ...hello, known: [valid] }]);
});

// Guards against a head without power that is presumed alive: updates of its
// failure domain are then missing for eleven seconds.
test("a link closes when nothing comes, though this side goes on telling", async (t) => {
  const { link, closed } = await openLink(t, () => {});
  const sending = setInterval(() => link.send(WANT), 100);
  t.after(() => clearInterval(sending));
  const late = new Promise<string>((resolve) => {
    const timer = setTimeout(() => resolve("still up"), 3 * IDLE_TIMEOUT_MS);
    t.after(() => clearTimeout(timer));
  });
  assert.equal(
    await Promise.race([closed.then(() => "closed"), late]),
    "closed",
  );
});

// Guards against a daemon that closes all of its links after each pause, because
// timers fire before what arrived in the pause is read.
test("a link stays up after a pause of the process in which data arrived", async (t) => {
  const { far, closed } = await openLink(t, () => {});
  far.write(encodeMessage(WANT));
  const sleeping = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(sleeping, 0, 0, 1.2 * IDLE_TIMEOUT_MS);
  const stillUp = new Promise<string>((resolve) => {
    const timer = setTimeout(() => resolve("still up"), IDLE_TIMEOUT_MS / 2);
    t.after(() => clearTimeout(timer));
  });
  assert.equal(
    await Promise.race([closed.then(() => "closed"), stillUp]),
    "still up",
  );
});
