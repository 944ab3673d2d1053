// Explores every interleaving of the claim protocol's steps, within the bounds
// of each scenario, over the decision functions that the daemon runs. A path is
// a list of choices (who moves, and what becomes of its store call); each is
// replayed from the start, so that a finding names its path.
//
// Invariant: within the window at most one claim of a key is delivered, and it
// is delivered only while its record is in the store.
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimLedger } from "../src/process/claim_ledger.ts";
import type { PartitionRequest } from "../src/process/claim_decision.ts";
import type { ClaimHead, ClaimRecord } from "../src/process/claim_record.ts";

type Fate = "ok" | "lose-reply" | "lose-request";
/** Yields the fates that its next step may have, and is told the chosen one. */
type Actor = Generator<readonly Fate[], void, Fate>;

const NO_FAULTS: readonly Fate[] = ["ok"];
const READ_FATES: readonly Fate[] = ["ok", "lose-request"];
const WRITE_FATES: readonly Fate[] = ["ok", "lose-reply", "lose-request"];
const MAX_ATTEMPTS = 3;
const WINDOW_MS = 10;
const TIMEOUT_MS = 1;

interface Rules {
  /**
   * Whether the store checks versions; off, to see that the search finds it.
   */
  readonly conditional: boolean;
  readonly retentionMs: number;
  readonly sealBytes: number;
  /** A claim is not used when its verdict took longer. */
  readonly timeoutMs: number;
}

const RULES: Rules = {
  conditional: true,
  // The first verdict and the second may each take the whole time bound.
  retentionMs: WINDOW_MS + 2 * TIMEOUT_MS + 1,
  timeoutMs: TIMEOUT_MS,
  sealBytes: 1_000_000,
};

class SimulatedStore {
  readonly rules: Rules;
  readonly findings: string[] = [];
  time = 0;
  #versions = 0;
  #head: { readonly head: ClaimHead; readonly version: number } | undefined;
  readonly #segments = new Map<number, readonly ClaimRecord[]>();
  readonly #delivered: { readonly id: string; readonly at: number }[] = [];

  constructor(rules: Rules) {
    this.rules = rules;
  }

  read() {
    return this.#head;
  }

  segment(name: number) {
    return this.#segments.get(name);
  }

  seal(name: number, records: readonly ClaimRecord[]) {
    if (!this.#segments.has(name)) this.#segments.set(name, records);
  }

  write(head: ClaimHead, ifVersion: number): number | undefined {
    const present = this.#head?.version ?? 0;
    if (this.rules.conditional && present !== ifVersion) return undefined;
    this.#versions += 1;
    this.#head = { head, version: this.#versions };
    return this.#versions;
  }

  /** The claimant is told that it may send. */
  deliver(id: string, askedAt: number) {
    if (!this.#stored(id)) this.findings.push(`"${id}" is not in the store`);
    for (const earlier of this.#delivered) {
      if (askedAt - earlier.at > WINDOW_MS) continue;
      this.findings.push(`"${id}" was delivered after "${earlier.id}"`);
    }
    this.#delivered.push({ id, at: this.time });
  }

  #stored(id: string): boolean {
    const head = this.#head?.head;
    const sealed = (head?.segments ?? []).flatMap((name) =>
      this.#segments.get(name) ?? []
    );
    return [...sealed, ...head?.records ?? []].some((record) =>
      record.id === id && record.state === "running"
    );
  }
}

/** Reads what the ledger lacks, as ClaimObjects.load does. */
function load(world: SimulatedStore, ledger: ClaimLedger): boolean {
  const found = world.read();
  if (found === undefined) return true;
  for (const name of ledger.missingSegments(found.head)) {
    const records = world.segment(name);
    if (records === undefined) return false;
    ledger.addSegment(name, { records, version: 1, knownSince: world.time });
  }
  ledger.applyHead(found.head, found.version);
  return true;
}

/** Decides one request at one server, as ClaimPartition does, step by step. */
function* serve(
  world: SimulatedStore,
  ledger: ClaimLedger,
  request: PartitionRequest,
): Generator<readonly Fate[], string, Fate> {
  const { sealBytes, retentionMs } = world.rules;
  const limits = { sealBytes, retentionMs, answerBytes: 0, maxSegments: 99 };
  let current = ledger.version > 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (!current) {
      if ((yield READ_FATES) !== "ok" || !load(world, ledger)) continue;
    }
    current = false;
    const composed = ledger.planBatch([request], { now: world.time, limits });
    const verdict = composed.decisions[0]?._tag ?? "none";
    if (composed.head === undefined) return verdict;
    const ifVersion = ledger.version;
    if (composed.sealed !== undefined) {
      yield NO_FAULTS;
      world.seal(ifVersion, composed.sealed);
      ledger.addSegment(ifVersion, {
        records: composed.sealed,
        version: 1,
        knownSince: world.time,
      });
    }
    const fate = yield WRITE_FATES;
    if (fate === "lose-request") continue;
    const version = world.write(composed.head, ifVersion);
    if (version === undefined || fate === "lose-reply") continue;
    ledger.applyHead(composed.head, version);
    return request._tag === "Claim" ? "Claimed" : "Settled";
  }
  return "Undecided";
}

function claimRequest(id: string, key = "k"): PartitionRequest {
  return { _tag: "Claim", key, digest: "d", id, by: "m" };
}

function withdrawal(id: string): PartitionRequest {
  const identity = { key: "k", digest: "d", id, by: "m" };
  return { _tag: "Settle", ...identity, state: "withdrawn" };
}

/** Asks one server, and takes the claim back when no verdict comes. */
function* claimant(
  world: SimulatedStore,
  ledger: ClaimLedger,
  id: string,
): Actor {
  yield NO_FAULTS;
  const askedAt = world.time;
  const verdict = yield* serve(world, ledger, claimRequest(id));
  const inTime = world.time - askedAt <= world.rules.timeoutMs;
  if (verdict === "Claimed" && inTime) return world.deliver(id, askedAt);
  if (verdict === "Claimed" || verdict === "Undecided") {
    yield* serve(world, ledger, withdrawal(id));
  }
}

/** Asks two servers, the second while the first may still be at work. */
function concurrentServers(
  world: SimulatedStore,
  servers: readonly ClaimLedger[],
  id: string,
) {
  let done = false;
  const askedAt = world.time;
  return servers.map(function* (ledger): Actor {
    const verdict = yield* serve(world, ledger, claimRequest(id));
    if (done || verdict !== "Claimed") return;
    done = true;
    world.deliver(id, askedAt);
  });
}

/** A request whose sender has left; nobody acts on its verdict. */
function* abandonedRequest(
  world: SimulatedStore,
  ledger: ClaimLedger,
  request: PartitionRequest,
): Actor {
  yield* serve(world, ledger, request);
}

/** Claims other keys, which seals and drops segments. */
function* filler(
  world: SimulatedStore,
  ledger: ClaimLedger,
  count: number,
): Actor {
  for (let index = 0; index < count; index += 1) {
    yield* serve(world, ledger, claimRequest(`f${index}`, `filler ${index}`));
  }
}

function* passTime(world: SimulatedStore, steps: readonly number[]): Actor {
  for (const step of steps) {
    yield NO_FAULTS;
    world.time += step;
  }
}

interface Exploration {
  readonly paths: number;
  readonly findings: readonly string[];
}

/** Replays every path with at most `faults` faulty store calls. */
function explore(
  rules: Rules,
  actors: (world: SimulatedStore) => readonly Actor[],
  faults: number,
): Exploration {
  const findings: string[] = [];
  const pending: number[][] = [[]];
  let paths = 0;
  while (pending.length > 0) {
    const path = pending.pop() ?? [];
    const end = replay(rules, actors, { path, faults, pending });
    paths += 1;
    for (const finding of end.findings) {
      findings.push(`${finding} on path ${end.path.join(" ")}`);
    }
  }
  return { paths, findings };
}

interface Choice {
  readonly actor: number;
  readonly fate: Fate;
}

function replay(
  rules: Rules,
  actors: (world: SimulatedStore) => readonly Actor[],
  options: {
    readonly path: readonly number[];
    readonly faults: number;
    readonly pending: number[][];
  },
) {
  const world = new SimulatedStore(rules);
  const tasks = actors(world).map((actor) => ({ actor, next: actor.next() }));
  const taken: number[] = [];
  let faults = options.faults;
  while (true) {
    const choices = tasks.flatMap(({ next }, actor): Choice[] => {
      if (next.done) return [];
      const fates = faults > 0 ? next.value : NO_FAULTS;
      return fates.map((fate) => ({ actor, fate }));
    });
    if (choices.length === 0) return { findings: world.findings, path: taken };
    const depth = taken.length;
    const index = options.path[depth] ?? 0;
    if (depth >= options.path.length) {
      for (let other = 1; other < choices.length; other += 1) {
        options.pending.push([...taken, other]);
      }
    }
    const choice = choices[index] as Choice;
    const task = tasks[choice.actor] as (typeof tasks)[number];
    if (choice.fate !== "ok") faults -= 1;
    task.next = task.actor.next(choice.fate);
    taken.push(index);
  }
}

function assertInvariant(found: Exploration, atLeast: number) {
  assert.deepEqual(found.findings.slice(0, 3), []);
  assert.ok(found.paths > atLeast, `only ${found.paths} paths`);
}

const twoClaimants = (world: SimulatedStore) => [
  claimant(world, new ClaimLedger(), "first"),
  claimant(world, new ClaimLedger(), "second"),
];

const claimAtTwoServers = (world: SimulatedStore) => {
  const [a, b] = [new ClaimLedger(), new ClaimLedger()];
  return [
    ...concurrentServers(world, [a, b], "first"),
    claimant(world, new ClaimLedger(), "second"),
  ];
};

const withdrawnClaim = (world: SimulatedStore) => [
  abandonedRequest(world, new ClaimLedger(), claimRequest("first")),
  abandonedRequest(world, new ClaimLedger(), withdrawal("first")),
  claimant(world, new ClaimLedger(), "second"),
];

const expiringClaims = (world: SimulatedStore) => {
  const [a, b] = [new ClaimLedger(), new ClaimLedger()];
  const first = claimant(world, a, "first");
  while (!first.next("ok").done);
  return [
    filler(world, a, 3),
    claimant(world, b, "second"),
    passTime(world, [WINDOW_MS, 2 * TIMEOUT_MS + 1]),
  ];
};

const EXPIRING_RULES = { ...RULES, sealBytes: 1 };

test("two servers, lost replies and lost requests claim a key once", () => {
  assertInvariant(explore(RULES, twoClaimants, 2), 1_000);
});

test("a claim asked of two servers at once, and a rival, claim a key once", () => {
  assertInvariant(explore(RULES, claimAtTwoServers, 1), 5_000);
});

test("a claim given up while it is being made leaves the key to one rival", () => {
  assertInvariant(explore(RULES, withdrawnClaim, 1), 5_000);
});

test("a retry within the window never runs again, whoever seals and drops", () => {
  assertInvariant(explore(EXPIRING_RULES, expiringClaims, 1), 10_000);
});

test("the exploration finds two runs when the store checks no version", () => {
  const unsafe = explore({ ...RULES, conditional: false }, twoClaimants, 0);
  assert.notEqual(unsafe.findings.length, 0);
});

test("the exploration finds two runs when a late verdict is used", () => {
  const patient = { ...EXPIRING_RULES, timeoutMs: Infinity };
  assert.notEqual(explore(patient, expiringClaims, 0).findings.length, 0);
});

test("the exploration finds two runs when claims age out too early", () => {
  const early = { ...EXPIRING_RULES, retentionMs: WINDOW_MS / 2 };
  assert.notEqual(explore(early, expiringClaims, 0).findings.length, 0);
});
