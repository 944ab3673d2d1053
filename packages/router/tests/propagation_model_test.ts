import assert from "node:assert/strict";
import { env } from "node:process";
import { test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import { isWatcher } from "../src/process/watch_plan.ts";
import type { FakeClock } from "./fake_clock.ts";
import { startSettledFleet } from "./fleet.ts";
import type { Fleet, Member } from "./fleet.ts";

/** Histories of a run, and their seed; by hand more of them, or others. */
const HISTORIES = Number(env.HISTORIES ?? 20);
const SEED = Number(env.SEED ?? 5);
/** Time within which a change reaches all daemons while all is well, in ms. */
const PROPAGATION_MS = 2_000;
/** Time in trouble after which a daemon no longer relies on others, in ms. */
const CONTACT_MS = 5_000;
const BOUND_MS = PROPAGATION_MS + CONTACT_MS;
const STEP_MS = 250;
const DOMAINS = 3;
const MOST_DAEMONS = 10;

/** Daemons that a step strikes: some by number, or by their part in the fleet. */
type Group = readonly number[] | "watchers" | "others" | "all";

type Step =
  | { readonly kind: "edit" | "heal" }
  | {
    readonly kind: "store fails" | "store is silent" | "store is well";
    readonly group: Group;
  }
  | { readonly kind: "sends nothing" | "gets nothing"; readonly group: Group }
  | { readonly kind: "cut off" | "stands still"; readonly group: Group }
  | { readonly kind: "ends"; readonly index: number; readonly power: boolean };

interface TimedStep {
  readonly step: Step;
  /** Steps of {@linkcode STEP_MS} until the next one. */
  readonly pauses: number;
}

const aGroup: fc.Arbitrary<Group> = fc.oneof(
  fc.constant<Group>("watchers"),
  fc.constantFrom<Group>("watchers", "others", "all"),
  fc.uniqueArray(fc.nat(MOST_DAEMONS - 1), { minLength: 1, maxLength: 7 }),
);

const aStep: fc.Arbitrary<Step> = fc.oneof(
  { arbitrary: fc.constant<Step>({ kind: "edit" }), weight: 4 },
  { arbitrary: fc.constant<Step>({ kind: "heal" }), weight: 1 },
  {
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "store fails",
        "store is silent",
        "store is well",
        "sends nothing",
        "gets nothing",
        "cut off",
        "stands still",
      ),
      group: aGroup,
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant("ends" as const),
      index: fc.nat(MOST_DAEMONS - 1),
      power: fc.boolean(),
    }),
    weight: 1,
  },
);

const aHistory = fc.record({
  daemons: fc.integer({ min: 4, max: MOST_DAEMONS }),
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  steps: fc.array(
    fc.record<TimedStep>({
      step: aStep,
      // Short ones let troubles overlap, long ones outlast the bound.
      pauses: fc.oneof(fc.nat(8), fc.integer({ min: 28, max: 40 })),
    }),
    { minLength: 2, maxLength: 12 },
  ),
});

/** What each daemon must know, given what has struck it and the others. */
class Model {
  readonly #fleet: Fleet;
  readonly #clock: FakeClock;
  /** Time since which a daemon runs and reaches the store. */
  readonly #soundSince = new Map<string, number>();
  /** Time since which all daemons are as they should be. */
  #wellSince = 0;
  #editedAt = 0;
  #version = 1;

  constructor(fleet: Fleet, clock: FakeClock) {
    this.#fleet = fleet;
    this.#clock = clock;
  }

  perform(step: Step): void {
    switch (step.kind) {
      case "edit":
        return this.#edit();
      case "heal":
        return this.heal();
      case "ends":
        return this.#end(step.index, step.power);
      default:
        this.#wellSince = Infinity;
        for (const member of this.#members(step.group)) {
          strike(this.#fleet, member, step.kind);
          this.#noteReach(member);
        }
    }
  }

  /** Ends all troubles and restarts daemons that have ended. */
  heal(): void {
    this.#fleet.heal();
    for (const member of this.#fleet.members) {
      member.storeAccess = "served";
      if (member.alive) this.#noteReach(member);
      else this.#noteReach(this.#fleet.restart(member), { anew: true });
    }
    this.#wellSince = Math.min(this.#wellSince, this.#clock.now);
  }

  async advance(pauses: number): Promise<void> {
    for (let count = 0; count < pauses; count++) {
      await this.#clock.advance(STEP_MS);
      this.#check();
    }
  }

  #check(): void {
    const { now } = this.#clock;
    const calm = this.#wellSince + CONTACT_MS <= this.#editedAt;
    const boundMs = calm ? PROPAGATION_MS : BOUND_MS;
    for (const member of this.#fleet.alive) {
      const { name } = member.contact;
      const since = Math.max(this.#soundSince.get(name) ?? 0, this.#editedAt);
      if (now < since + boundMs) continue;
      const found = `${name} after ${now - since} ms`;
      assert.equal(member.configuration?.version, this.#version, found);
      const marks = member.directory.runners.map(({ warmUpMs }) => warmUpMs);
      assert.deepEqual([...new Set(marks)], [this.#version], found);
    }
  }

  #edit(): void {
    const { runners } = this.#fleet;
    this.#version += 1;
    this.#editedAt = this.#clock.now;
    this.#fleet.configure(this.#version);
    this.#fleet.setRunners(
      runners.map((runner) => ({ ...runner, warmUpMs: this.#version })),
    );
  }

  #end(index: number, power: boolean): void {
    const member = this.#fleet.members[index];
    // The last one stays, or there would be nobody to check.
    if (member?.alive !== true || this.#fleet.alive.length === 1) return;
    member.end({ power });
    this.#wellSince = Infinity;
  }

  #noteReach(
    { contact, storeAccess }: Member,
    { anew = false } = {},
  ): void {
    const known = this.#soundSince.get(contact.name) ?? 0;
    const reaches = storeAccess === "served";
    const since = anew || known === Infinity ? this.#clock.now : known;
    this.#soundSince.set(contact.name, reaches ? since : Infinity);
  }

  #members(group: Group): readonly Member[] {
    const { alive, members } = this.#fleet;
    if (group === "all") return alive;
    if (group === "watchers" || group === "others") {
      const contacts = alive.map(({ contact }) => contact);
      const wanted = group === "watchers";
      return alive.filter(({ contact }) =>
        isWatcher(contact, contacts) === wanted
      );
    }
    return members.filter(({ alive }, index) => alive && group.includes(index));
  }
}

function strike(
  fleet: Fleet,
  member: Member,
  kind: Exclude<Step["kind"], "edit" | "heal" | "ends">,
): void {
  const { name } = member.contact;
  const others = fleet.members.filter((other) => other !== member);
  const muted = kind === "sends nothing" || kind === "cut off" ||
    kind === "stands still";
  const deafened = kind === "gets nothing" || kind === "cut off" ||
    kind === "stands still";
  for (const { contact, blocked } of others) {
    if (muted) member.blocked.add(contact.name);
    if (deafened) blocked.add(name);
  }
  if (kind === "store is well") member.storeAccess = "served";
  if (kind === "store fails") member.storeAccess = "refused";
  // Seen from others, a daemon that stands still neither sends nor receives.
  if (kind === "store is silent" || kind === "stands still") {
    member.storeAccess = "silent";
  }
}

async function play(
  t: TestContext,
  { daemons, seed, steps }: {
    readonly daemons: number;
    readonly seed: number;
    readonly steps: readonly TimedStep[];
  },
): Promise<void> {
  const shape = { daemons, domains: DOMAINS, runners: 4 };
  const { clock, fleet } = await startSettledFleet(t, shape, seed);
  try {
    const model = new Model(fleet, clock);
    model.perform({ kind: "edit" });
    for (const { step, pauses } of steps) {
      model.perform(step);
      await model.advance(pauses);
    }
    model.heal();
    await model.advance(BOUND_MS / STEP_MS);
    model.perform({ kind: "edit" });
    await model.advance(PROPAGATION_MS / STEP_MS);
  } finally {
    for (const member of fleet.alive) member.end({ power: true });
    clock.restore();
  }
}

// Guards against daemons that take a peer's silence on versions for a quiet store.
test("who reaches the store has its newest version in any history of faults", async (t) => {
  await fc.assert(
    fc.asyncProperty(aHistory, (history) => play(t, history)),
    { numRuns: HISTORIES, seed: SEED },
  );
});
