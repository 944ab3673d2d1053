/**
 * Claims at a member: makes and settles them at a given rate, and serves
 * partitions when it is the one to do so.
 *
 * @module
 */
import { ClaimsInStore, type Host, HttpStore } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { Meter } from "./slopes_meter.ts";
import {
  MeteredStore,
  type RigNode,
  runHere,
  startRigNode,
} from "./slopes_node.ts";
import type { Part } from "./slopes_part.ts";

const TICK_MS = 10;
const MILLIS = 1_000;
const DIGEST = "a digest of the body";

/** What this part is made from. */
export interface ClaimsConfig {
  readonly name: string;
  readonly storeUrl: string;
  readonly partitions: number;
  readonly writesPerSecond: number;
}

/** What this part tells of itself. */
export interface ClaimsInfo {
  readonly host: Host;
}

/** What this part can be told. */
export type ClaimsCommand =
  | { readonly type: "hosts"; readonly hosts: readonly Host[] }
  | { readonly type: "load"; readonly claimsPerSecond: number }
  /** Makes so many claims, some at a time, and settles each. */
  | { readonly type: "make"; readonly claims: number }
  | { readonly type: "counts" };

/** How claims have gone so far. */
export interface ClaimsCounts {
  readonly claimed: number;
  readonly failed: number;
}

class ClaimsPart implements Part {
  readonly #rig: RigNode;
  readonly #claims: ClaimsInStore;
  #timer: NodeJS.Timeout | undefined;
  #asked = 0;
  #claimed = 0;
  #failed = 0;

  constructor(rig: RigNode, claims: ClaimsInStore) {
    this.#rig = rig;
    this.#claims = claims;
  }

  get info(): ClaimsInfo {
    return { host: this.#rig.host };
  }

  async call(command: unknown): Promise<unknown> {
    const given = command as ClaimsCommand;
    switch (given.type) {
      case "hosts":
        return this.#rig.hostList.set(given.hosts);
      case "load":
        return this.#load(given.claimsPerSecond);
      case "make":
        return await this.#makeMany(given.claims);
      case "counts":
        return { claimed: this.#claimed, failed: this.#failed };
    }
  }

  #load(claimsPerSecond: number): void {
    clearInterval(this.#timer);
    const startedAt = performance.now();
    let made = 0;
    this.#timer = setInterval(() => {
      const elapsed = (performance.now() - startedAt) / MILLIS;
      for (; made < elapsed * claimsPerSecond; made++) void this.#make();
    }, TICK_MS);
  }

  async #makeMany(claims: number): Promise<void> {
    const batch = 200;
    for (let made = 0; made < claims; made += batch) {
      const size = Math.min(batch, claims - made);
      await Promise.all(Array.from({ length: size }, () => this.#make()));
    }
  }

  async #make(): Promise<void> {
    const key = `workspace-1/service-1/${this.#rig.host.name}-${this.#asked++}`;
    const made = this.#claims.claim(key, { digest: DIGEST }).pipe(
      Effect.flatMap((outcome) => {
        if (outcome._tag !== "Claimed") return Effect.succeed(false);
        return Effect.as(outcome.claim.settle({ _tag: "Answered" }), true);
      }),
      Effect.catch(() => Effect.succeed(false)),
    );
    if (await Effect.runPromise(made)) this.#claimed += 1;
    else this.#failed += 1;
  }
}

/** Starts a member with claims. */
export async function makePart(config: unknown, meter: Meter): Promise<Part> {
  const { name, storeUrl, partitions, writesPerSecond } =
    config as ClaimsConfig;
  const rig = await startRigNode(name, { meter });
  const store = new MeteredStore(new HttpStore({ url: storeUrl }), meter);
  const claims = new ClaimsInStore({
    store,
    peers: rig.peers,
    membership: rig.node.membership,
    settings: { partitions, writesPerSecond },
  });
  await runHere(claims.start());
  return new ClaimsPart(rig, claims);
}
