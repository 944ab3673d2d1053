import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { startFakeRunner, testEngine } from "../../tests/fixtures.ts";
import type { Path, PeerVerdict } from "../process/runner_paths.ts";
import type { Runner } from "../process/runner.ts";
import { LifeDetector } from "./life_detector.ts";
import type { LifeContext } from "./life_detector.ts";
import { TcpRunnerNetwork } from "./runner_network.ts";

const RUNNER = testEngine("r-1");

/** A network in which each new connection fails. */
const FAILING = {
  connect: () => new Socket().destroy(new Error("read ECONNRESET")),
};

/** Returns a detector without any sign of life, but for the given parts. */
function createDetector(
  parts: Partial<Omit<LifeContext, "paths">> & {
    readonly path?: Path;
    readonly pathLost?: boolean;
    readonly verdict?: PeerVerdict;
  } = {},
): LifeDetector {
  const { path = "direct", pathLost = false, verdict = "unknown" } = parts;
  return new LifeDetector({
    network: FAILING,
    connections: { stayOpen: () => Promise.resolve(false) },
    confirmsStart: () => Promise.resolve(true),
    ...parts,
    paths: {
      pathTo: () => path,
      check: () => Promise.resolve(pathLost),
      askPeers: () => Promise.resolve(verdict),
    },
  });
}

const CONNECTED = { stayOpen: () => Promise.resolve(true) };

test("a connection that fails shows no life", async () => {
  const life = await createDetector().check(RUNNER, "direct");
  assert.deepEqual(life, { sign: "failed", alive: false });
});

// Guards against a sound response that is cut off as its runner is full.
test("a runner that resets one connection and accepts the next lives", async (t) => {
  const { runner } = await startFakeRunner(t, "r-1", () => {});
  const tcp = new TcpRunnerNetwork();
  let tries = 0;
  const network = {
    connect: () => tries++ === 0 ? FAILING.connect() : tcp.connect(runner),
  };
  const life = await createDetector({ network }).check(runner, "direct");
  assert.deepEqual(life, { sign: "accepted", alive: true });
});

test("an address that resets a connection and refuses the next shows no life", async (t) => {
  const { runner, end } = await startFakeRunner(t, "r-1", () => {});
  await end();
  const tcp = new TcpRunnerNetwork();
  let tries = 0;
  const network = {
    connect: () => tries++ === 0 ? FAILING.connect() : tcp.connect(runner),
  };
  const life = await createDetector({ network }).check(runner, "direct");
  assert.deepEqual(life, { sign: "refused", alive: false });
});

for (const verdict of ["refused", "unreached", "unknown"] as const) {
  test(`a runner of which peers say ${verdict} is not shown to live`, async () => {
    const detector = createDetector({ path: "tunnel", verdict });
    const life = await detector.check(RUNNER, "tunnel");
    assert.deepEqual(life, { sign: verdict, alive: false });
  });

  // Guards against what peers said before the response ended.
  test(`a runner of which peers say ${verdict} by now is not shown to live`, async () => {
    const detector = createDetector({ pathLost: true, verdict });
    const life = await detector.check(RUNNER, "direct");
    assert.deepEqual(life, { sign: verdict, alive: false });
  });
}

test("a runner that peers reach lives", async () => {
  const lost = createDetector({ pathLost: true, verdict: "reached" });
  const tunnelled = createDetector({ path: "tunnel", verdict: "reached" });
  const reached = { sign: "reached", alive: true };
  assert.deepEqual(await lost.check(RUNNER, "direct"), reached);
  assert.deepEqual(await tunnelled.check(RUNNER, "tunnel"), reached);
});

test("a runner whose other connections stay open is not asked", async () => {
  const detector = createDetector({
    connections: CONNECTED,
    confirmsStart: () => Promise.reject(new Error("asked")),
  });
  const life = await detector.check(RUNNER, "direct");
  assert.deepEqual(life, { sign: "connected", alive: true });
});

// Guards against direct connections that hang on a lost path.
for (const path of ["direct", "tunnel"] as const) {
  test(`direct connections show nothing of a response by tunnel (path now ${path})`, async () => {
    const detector = createDetector({ path, connections: CONNECTED });
    assert.equal((await detector.check(RUNNER, "tunnel")).alive, false);
  });
}

// Guards against a new process at the address of the old one.
test("a runner that accepts, but does not confirm its start, is not shown to live", async (t) => {
  const { runner } = await startFakeRunner(t, "r-1", () => {});
  const detector = (confirms: (runner: Runner, since: number) => boolean) =>
    createDetector({
      network: new TcpRunnerNetwork(),
      confirmsStart: (...asked) => Promise.resolve(confirms(...asked)),
    });
  assert.deepEqual(await detector(() => false).check(runner, "direct"), {
    sign: "unconfirmed",
    alive: false,
  });
  const begunAt = performance.now();
  const asked = detector((_, since) => since >= begunAt);
  const accepted = { sign: "accepted", alive: true };
  assert.deepEqual(await asked.check(runner, "direct"), accepted);
});
