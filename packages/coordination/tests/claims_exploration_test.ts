// Explores every interleaving of the steps of the claim protocol, within the
// bounds of each scenario, with the same decision functions as the daemon. A
// path is a list of choices of the next actor and the outcome of its store
// call. Each path is replayed from the start, so that a finding can state its
// path.
//
// Invariant: within the window at most one claim of a key is delivered, and it
// is delivered only while its record is in the store.
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimLedger } from "../src/process/claim_ledger.ts";
import type { PartitionRequest } from "../src/process/claim_decision.ts";
import type { ClaimHead, ClaimRecord } from "../src/process/claim_record.ts";

type StoreOutcome = "ok" | "lose-reply" | "lose-request";
/**
 * Yields the possible outcomes of its next step, and receives the chosen one.
 */
type Actor = Generator<readonly StoreOutcome[], void, StoreOutcome>;

const NO_FAULTS: readonly StoreOutcome[] = ["ok"];
const READ_OUTCOMES: readonly StoreOutcome[] = ["ok", "lose-request"];
const WRITE_OUTCOMES: readonly StoreOutcome[] = [
  "ok",
  "lose-reply",
  "lose-request",
];
const MAX_ATTEMPTS = 3;
const WINDOW_MS = 10;
const TIMEOUT_MS = 1;

interface Rules {
  /**
   * Whether the store checks versions. False to test that `explore` finds the
   * fault that this causes.
   */
  readonly conditional: boolean;
  readonly retentionMs: number;
  readonly sealBytes: number;
  /** A claim is not used if its decision took longer. */
  readonly timeoutMs: number;
}

const RULES: Rules = {
  conditional: true,
  // The first and the second decision may each take the whole time-out.
  retentionMs: WINDOW_MS + 2 * TIMEOUT_MS + 1,
  timeoutMs: TIMEOUT_MS,
  sealBytes: 1_000_000,
};

/** The simulated store and clock, and the claims delivered so far. */
class Simulation {
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

  /** Delivers a claim: the claimant may now send its request. */
  deliver(id: string, requestedAt: number) {
    if (!this.#stored(id)) this.findings.push(`"${id}" is not in the store`);
    for (const earlier of this.#delivered) {
      if (requestedAt - earlier.at > WINDOW_MS) continue;
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

/** Reads the objects that the ledger lacks, as ClaimObjects.load does. */
function load(sim: Simulation, ledger: ClaimLedger): boolean {
  const found = sim.read();
  if (found === undefined) return true;
  for (const name of ledger.missingSegments(found.head)) {
    const records = sim.segment(name);
    if (records === undefined) return false;
    ledger.addSegment(name, {
      records,
      version: 1,
      knownSince: sim.time,
    });
  }
  ledger.applyHead(found.head, found.version);
  return true;
}

/** Decides one request at one server, as ClaimPartition does, step by step. */
function* serve(
  sim: Simulation,
  ledger: ClaimLedger,
  request: PartitionRequest,
): Generator<readonly StoreOutcome[], string, StoreOutcome> {
  const { sealBytes, retentionMs } = sim.rules;
  const limits = { sealBytes, retentionMs, answerBytes: 0, maxSegments: 99 };
  let current = ledger.version > 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (!current) {
      if ((yield READ_OUTCOMES) !== "ok" || !load(sim, ledger)) continue;
    }
    current = false;
    const plan = ledger.planBatch([request], { now: sim.time, limits });
    const decision = plan.decisions[0]?._tag ?? "none";
    if (plan.head === undefined) return decision;
    const ifVersion = ledger.version;
    if (plan.sealed !== undefined) {
      yield NO_FAULTS;
      sim.seal(ifVersion, plan.sealed);
      ledger.addSegment(ifVersion, {
        records: plan.sealed,
        version: 1,
        knownSince: sim.time,
      });
    }
    const outcome = yield WRITE_OUTCOMES;
    if (outcome === "lose-request") continue;
    const version = sim.write(plan.head, ifVersion);
    if (version === undefined || outcome === "lose-reply") continue;
    ledger.applyHead(plan.head, version);
    return request._tag === "Claim" ? "Claimed" : "Settled";
  }
  return "Undecided";
}

function claimRequest(id: string, key = "k"): PartitionRequest {
  return { _tag: "Claim", key, digest: "d", id, by: "m" };
}

function withdrawalRequest(id: string): PartitionRequest {
  const identity = { key: "k", digest: "d", id, by: "m" };
  return { _tag: "Settle", ...identity, state: "withdrawn" };
}

/**
 * Sends a claim to one server, and withdraws it if no decision arrives in time.
 */
function* claimant(
  sim: Simulation,
  ledger: ClaimLedger,
  id: string,
): Actor {
  yield NO_FAULTS;
  const requestedAt = sim.time;
  const decision = yield* serve(sim, ledger, claimRequest(id));
  const inTime = sim.time - requestedAt <= sim.rules.timeoutMs;
  if (decision === "Claimed" && inTime) return sim.deliver(id, requestedAt);
  if (decision === "Claimed" || decision === "Undecided") {
    yield* serve(sim, ledger, withdrawalRequest(id));
  }
}

/** Sends one claim to two servers, which may work on it at the same time. */
function concurrentClaimant(
  sim: Simulation,
  servers: readonly ClaimLedger[],
  id: string,
) {
  let done = false;
  const requestedAt = sim.time;
  return servers.map(function* (ledger): Actor {
    const decision = yield* serve(sim, ledger, claimRequest(id));
    if (done || decision !== "Claimed") return;
    done = true;
    sim.deliver(id, requestedAt);
  });
}

/** A request whose sender has gone; nothing acts on its decision. */
function* abandonedRequest(
  sim: Simulation,
  ledger: ClaimLedger,
  request: PartitionRequest,
): Actor {
  yield* serve(sim, ledger, request);
}

/** Claims other keys, which causes segments to be sealed and dropped. */
function* claimOtherKeys(
  sim: Simulation,
  ledger: ClaimLedger,
  count: number,
): Actor {
  for (let index = 0; index < count; index += 1) {
    yield* serve(
      sim,
      ledger,
      claimRequest(`f${index}`, `filler ${index}`),
    );
  }
}

function* passTime(sim: Simulation, steps: readonly number[]): Actor {
  for (const step of steps) {
    yield NO_FAULTS;
    sim.time += step;
  }
}

interface Exploration {
  readonly paths: number;
  readonly findings: readonly string[];
}

/** Replays every path that has at most `faults` faulty store calls. */
function explore(
  rules: Rules,
  actors: (sim: Simulation) => readonly Actor[],
  faults: number,
): Exploration {
  const findings: string[] = [];
  const pending: number[][] = [[]];
  let paths = 0;
  while (pending.length > 0) {
    const path = pending.pop() ?? [];
    const result = replay(rules, actors, { path, faults, pending });
    paths += 1;
    for (const finding of result.findings) {
      findings.push(`${finding} on path ${result.path.join(" ")}`);
    }
  }
  return { paths, findings };
}

interface Choice {
  readonly actor: number;
  readonly outcome: StoreOutcome;
}

function replay(
  rules: Rules,
  actors: (sim: Simulation) => readonly Actor[],
  options: {
    readonly path: readonly number[];
    readonly faults: number;
    readonly pending: number[][];
  },
) {
  const sim = new Simulation(rules);
  const tasks = actors(sim).map((actor) => ({
    actor,
    next: actor.next(),
  }));
  const taken: number[] = [];
  let faults = options.faults;
  while (true) {
    const choices = tasks.flatMap(({ next }, actor): Choice[] => {
      if (next.done) return [];
      const outcomes = faults > 0 ? next.value : NO_FAULTS;
      return outcomes.map((outcome) => ({ actor, outcome }));
    });
    if (choices.length === 0) return { findings: sim.findings, path: taken };
    const depth = taken.length;
    const index = options.path[depth] ?? 0;
    if (depth >= options.path.length) {
      for (let other = 1; other < choices.length; other += 1) {
        options.pending.push([...taken, other]);
      }
    }
    const choice = choices[index] as Choice;
    const task = tasks[choice.actor] as (typeof tasks)[number];
    if (choice.outcome !== "ok") faults -= 1;
    task.next = task.actor.next(choice.outcome);
    taken.push(index);
  }
}

function assertInvariant(found: Exploration, atLeast: number) {
  assert.deepEqual(found.findings.slice(0, 3), []);
  assert.ok(found.paths > atLeast, `only ${found.paths} paths`);
}

const twoClaimants = (sim: Simulation) => [
  claimant(sim, new ClaimLedger(), "first"),
  claimant(sim, new ClaimLedger(), "second"),
];

const claimAtTwoServers = (sim: Simulation) => {
  const [a, b] = [new ClaimLedger(), new ClaimLedger()];
  return [
    ...concurrentClaimant(sim, [a, b], "first"),
    claimant(sim, new ClaimLedger(), "second"),
  ];
};

const withdrawnClaim = (sim: Simulation) => [
  abandonedRequest(sim, new ClaimLedger(), claimRequest("first")),
  abandonedRequest(sim, new ClaimLedger(), withdrawalRequest("first")),
  claimant(sim, new ClaimLedger(), "second"),
];

const expiringClaims = (sim: Simulation) => {
  const [a, b] = [new ClaimLedger(), new ClaimLedger()];
  const first = claimant(sim, a, "first");
  while (!first.next("ok").done);
  return [
    claimOtherKeys(sim, a, 3),
    claimant(sim, b, "second"),
    passTime(sim, [WINDOW_MS, 2 * TIMEOUT_MS + 1]),
  ];
};

const EXPIRING_RULES = { ...RULES, sealBytes: 1 };

test("a key is claimed once despite two servers, lost replies and lost requests", () => {
  assertInvariant(explore(RULES, twoClaimants, 2), 1_000);
});

test("a key is claimed once when one of two claimants uses two servers at once", () => {
  assertInvariant(explore(RULES, claimAtTwoServers, 1), 5_000);
});

test("a claim withdrawn while it is being made leaves the key to one rival", () => {
  assertInvariant(explore(RULES, withdrawnClaim, 1), 5_000);
});

test("a retry within the window never runs again while segments are sealed and dropped", () => {
  assertInvariant(explore(EXPIRING_RULES, expiringClaims, 1), 10_000);
});

test("the exploration finds two runs if the store does not check versions", () => {
  const unsafe = explore({ ...RULES, conditional: false }, twoClaimants, 0);
  assert.notEqual(unsafe.findings.length, 0);
});

test("the exploration finds two runs if a late decision is used", () => {
  const lateDecisions = { ...EXPIRING_RULES, timeoutMs: Infinity };
  assert.notEqual(explore(lateDecisions, expiringClaims, 0).findings.length, 0);
});

test("the exploration finds two runs if claims expire too early", () => {
  const earlyExpiry = { ...EXPIRING_RULES, retentionMs: WINDOW_MS / 2 };
  assert.notEqual(explore(earlyExpiry, expiringClaims, 0).findings.length, 0);
});
