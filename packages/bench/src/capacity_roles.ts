/**
 * The roles of a daemon: what each sees at the planned size, and what carries
 * it.
 *
 * @module
 */
import { derive, DESIGN, PLAN } from "./capacity_plan.ts";
import type { Role } from "./slopes_result.ts";

/** How much of a measured unit one daemon sees. */
export interface Load {
  readonly role: Role;
  /** What it is, for readers. */
  readonly title: string;
  /** On an average daemon. */
  readonly mean: number;
  /** On the daemon that has most of it. */
  readonly most: number;
  /** How `mean` and `most` were worked out. */
  readonly working: string;
  /** False for the bytes of answers, which are not control. */
  readonly control: boolean;
  /** Counted at once rather than a second: only its state is multiplied by it. */
  readonly held: boolean;
}

/** A role with the mechanism that carries it. */
export interface Carrier {
  readonly name: string;
  readonly mechanism: string;
  /** Paths in the repository. */
  readonly modules: readonly string[];
  readonly loads: readonly Load[];
}

const size = derive();

function load(
  role: Role,
  title: string,
  rest: Pick<Load, "mean" | "most" | "working"> & Partial<Load>,
): Load {
  return { role, title, control: true, held: false, ...rest };
}

const ENTRY: Carrier = {
  name: "Entry",
  mechanism:
    "Takes callers' requests, asks a broker for a slot, and streams with the " +
    "runner itself: the bytes of an answer take one hop, only ask, grant and " +
    "release go between daemons.",
  modules: [
    "packages/daemon/src/connection/",
    "packages/daemon/src/request/",
  ],
  loads: [
    load("entry", "requests/s, as asker", {
      mean: size.requestsPerDaemon,
      most: size.requestsPerDaemon,
      working: "14,000 / 380; the platform's balancer spreads them",
    }),
    load("entryStream", "open streams", {
      mean: size.streamsPerDaemon,
      most: size.streamsPerDaemon,
      working: "14,000 requests/s × 329 tokens × 64 ms / 380",
      held: true,
      control: false,
    }),
    load("entryToken", "token events/s, relayed", {
      mean: size.tokensPerDaemon,
      most: size.tokensPerDaemon,
      working: "4.6 M / 380",
      control: false,
    }),
  ],
};

const BROKER: Carrier = {
  name: "Broker",
  mechanism:
    "Each shard of about 16 runners is brokered by the live daemon that " +
    "rendezvous hashing with bounded load names. Its state is soft: a new " +
    "broker learns held and waiting slots from the entries.",
  modules: ["packages/daemon/src/process/scheduling/"],
  loads: [
    load("broker", "asks/s", {
      mean: size.requestsPerDaemon,
      most: size.asksPerShard * size.mostShardsPerDaemon,
      working: "14,000 / 380; at most 14,000 / 150 shards for one shard",
    }),
    load("brokerRunner", "runners watched", {
      mean: PLAN.runners / PLAN.daemons,
      most: DESIGN.runnersPerShard * size.mostShardsPerDaemon,
      working: "2,400 / 380; at most the 16 of one shard",
    }),
    load("brokerGrant", "grants held", {
      mean: size.streamsPerDaemon,
      most: size.streamsPerShard * size.mostShardsPerDaemon,
      working: "as many as open streams; at most those of one shard",
      held: true,
    }),
  ],
};

const PARTITION_OWNER: Carrier = {
  name: "Partition owner",
  mechanism:
    "Claims on idempotency keys are committed in groups: the owner of a key's " +
    "partition, by rendezvous hash, adds all claims of a few milliseconds to " +
    "one conditional update of the partition's object. Safety is in the " +
    "conditional update, ownership gives speed.",
  modules: ["packages/coordination/src/process/claims_in_store.ts"],
  loads: [
    load("partitionOwner", "claims/s", {
      mean: size.claimsPerSecond / PLAN.daemons,
      most: size.claimsPerSecond / PLAN.daemons,
      working: "5% of 14,000 (assumed) / 380",
    }),
  ],
};

const WATCHER: Carrier = {
  name: "Watcher",
  mechanism:
    "Two daemons in each failure domain hold a watch on the table; the others " +
    "get changes from peers, and versions ride on heartbeats and probes, so a " +
    "gap is seen and filled.",
  modules: ["packages/coordination/src/version/published.ts"],
  loads: [
    load("watcher", "edits/s taken in and passed on", {
      mean: size.editsPerSecondBunched,
      most: size.editsPerSecondBunched,
      working: "1,600 a day, ten times as dense while people work (assumed)",
    }),
    load("watcherRow", "rows of the table held", {
      mean: size.rows,
      most: size.rows,
      working: "310 workspaces × 6 tiers, at every daemon",
      held: true,
    }),
  ],
};

const SHARE_OWNER: Carrier = {
  name: "Share owner",
  mechanism:
    "A row's limit is divided among the shards that see its demand by the " +
    "daemon that rendezvous hashing of the row names. Shares expire, so their " +
    "sum stays under the limit when the owner is lost.",
  modules: ["packages/coordination/src/process/"],
  loads: [
    load("shareOwner", "rows owned", {
      mean: size.rowsPerDaemon,
      most: Math.ceil(size.rowsPerDaemon) * 2,
      working: "1,860 / 380; twice that for the unluckiest",
    }),
  ],
};

const MEMBER: Carrier = {
  name: "Member",
  mechanism:
    "Random probing at a constant rate over UDP, suspicion before removal, " +
    "leaving announced by the host itself; who may exist comes from the " +
    "platform's lagging list. Links are dialled when they are needed.",
  modules: [
    "packages/coordination/src/process/membership.ts",
    "packages/coordination/src/connection/",
  ],
  loads: [
    load("member", "members in the view", {
      mean: PLAN.daemons,
      most: PLAN.daemons,
      working: "380",
    }),
    load("link", "links in use", {
      mean: PLAN.daemons - 1,
      most: PLAN.daemons - 1,
      working:
        "an entry asks all 150 brokers within seconds, and is asked if it is one",
    }),
  ],
};

/** The roles in order of the page. */
export const CARRIERS: readonly Carrier[] = [
  ENTRY,
  BROKER,
  PARTITION_OWNER,
  WATCHER,
  SHARE_OWNER,
  MEMBER,
];
