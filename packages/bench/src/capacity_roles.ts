/**
 * The roles of a daemon: what each sees at the planned size, and what carries
 * it.
 *
 * @module
 */
import { type Carrier, control, everywhere, spread } from "./capacity_load.ts";
import { derive, DESIGN, PLAN } from "./capacity_plan.ts";

const size = derive();
const ALL = PLAN.daemons;
/** A broker serves a whole service today, and there is one for each model. */
const BROKERS_TODAY = PLAN.models;
const PARTS = size.rows * DESIGN.modelsPerRow * size.shardsPerModel;
const SHARDS = "cut a service's runners into shards of 16, each with a broker";

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
    control("entry", "requests/s for which it asks", {
      today: everywhere(
        size.requestsPerDaemon,
        "14,000 / 380; the platform's balancer spreads them",
      ),
    }),
    control("entryBroker", "brokers that it uses", {
      today: everywhere(BROKERS_TODAY, "one for each of 11 models' services"),
      later: {
        ...everywhere(size.shards, "150 shards, all used within seconds"),
        change: SHARDS,
      },
    }),
    {
      role: "entryRequest",
      title: "requests/s of callers, HTTP on both sides",
      today: everywhere(size.requestsPerDaemon, "14,000 / 380"),
      control: false,
      kind: "rate",
    },
    {
      role: "entryToken",
      title: "token events/s relayed",
      today: everywhere(size.tokensPerDaemon, "4.6 M / 380"),
      control: false,
      kind: "rate",
    },
    {
      role: "entryStream",
      title: "open streams",
      today: everywhere(
        size.streamsPerDaemon,
        "14,000 requests/s × 329 tokens × 64 ms / 380",
      ),
      control: false,
      kind: "held",
    },
  ],
};

const BROKER: Carrier = {
  name: "Broker",
  mechanism:
    "A service's waiting asks are ordered by the live daemon that rendezvous " +
    "hashing with bounded load names; at the planned size each shard of about " +
    "16 runners has its own. Its state is soft: a new broker learns held and " +
    "waiting slots from the entries.",
  modules: ["packages/daemon/src/process/scheduling/"],
  loads: [
    control("broker", "asks/s", {
      today: spread(BROKERS_TODAY, {
        total: PLAN.requestsPerSecond,
        working: "one broker for each of 11 models' services",
      }),
      later: {
        ...spread(size.shards, {
          total: PLAN.requestsPerSecond,
          working: "150 shards of 16 runners, at most one for a daemon",
        }),
        change: SHARDS,
      },
    }),
    control("brokerEntry", "entries that use it", {
      today: {
        bearers: BROKERS_TODAY,
        amount: ALL,
        most: ALL,
        working: "every daemon asks every broker",
      },
      later: {
        bearers: size.shards,
        amount: ALL,
        most: ALL,
        working: "the same, at more brokers",
        change: SHARDS,
      },
    }),
    {
      role: "brokerGrant",
      title: "grants held",
      today: spread(BROKERS_TODAY, {
        total: size.openStreams,
        working: "as many as open streams, over 11 brokers",
      }),
      later: {
        ...spread(size.shards, {
          total: size.openStreams,
          working: "over 150 shards",
        }),
        change: SHARDS,
      },
      control: true,
      kind: "held",
    },
    control("brokerRunner", "runners watched", {
      today: spread(BROKERS_TODAY, {
        total: PLAN.runners,
        working: "a broker asks the runners of its service for their load",
      }),
      later: {
        ...spread(size.shards, {
          total: PLAN.runners,
          working: "the 16 of one shard",
        }),
        change: SHARDS,
      },
    }),
  ],
};

const PARTITION_OWNER: Carrier = {
  name: "Partition owner",
  mechanism:
    "Claims on idempotency keys are committed in groups: the server of a " +
    "key's partition, by rendezvous hash, adds all claims of a few " +
    "milliseconds to one conditional update of the partition's object. Safety " +
    "is in the conditional update, ownership gives speed.",
  modules: ["packages/coordination/src/process/claims_in_store.ts"],
  loads: [
    control("partitionOwner", "claims/s", {
      today: spread(DESIGN.partitions, {
        total: size.claimsPerSecond,
        working: "5% of 14,000 (assumed) over 16 partitions",
      }),
    }),
    {
      role: "claimKept",
      title: "claims kept",
      today: spread(DESIGN.partitions, {
        total: size.claimsPerSecond * DESIGN.claimRetentionSeconds,
        working: "those of ten minutes and a little",
      }),
      control: true,
      kind: "held",
    },
  ],
};

const WATCHER: Carrier = {
  name: "Watcher",
  mechanism:
    "Two daemons in each failure domain hold a watch on the table and pass " +
    "changes on as deltas to their domain and to the other domains' watchers; " +
    "every daemon also compares versions with another one each second, so " +
    "that a gap is seen and filled.",
  modules: ["packages/coordination/src/version/published.ts"],
  loads: [
    control("watcher", "edits/s taken from the store and passed on", {
      today: {
        bearers: size.watchers,
        amount: size.editsPerSecondBunched,
        most: size.editsPerSecondBunched,
        working: "1,600 a day, ten times as dense while people work (assumed)",
      },
    }),
    control("follower", "edits/s taken from a watcher", {
      today: {
        bearers: ALL - size.watchers,
        amount: size.editsPerSecondBunched,
        most: 0,
        working: "the same, at all other daemons",
      },
    }),
    {
      role: "watcherRow",
      title: "rows of the table held",
      today: everywhere(
        size.rows,
        "310 workspaces × 6 tiers, at every daemon",
      ),
      control: true,
      kind: "held",
    },
  ],
};

const SHARE_OWNER: Carrier = {
  name: "Share owner",
  mechanism:
    "A row's limit is divided among the brokers that see its demand by the " +
    "daemon that rendezvous hashing of the row names. Shares expire, so their " +
    "sum stays under the limit when the owner is lost. The part is built and " +
    "tested but the daemon does not use it yet: with one broker for a service " +
    "that broker enforces the row's limit at its service by itself.",
  modules: ["packages/coordination/src/process/shares.ts"],
  loads: [
    control("shareOwner", "parts of limits owned", {
      today: everywhere(0, "not used yet"),
      later: {
        ...spread(ALL, {
          total: PARTS,
          working: "1,860 rows × 2 models each (assumed) × 13.6 shards a " +
            "model; twice as many for the unluckiest",
        }),
        most: 2 * PARTS / ALL,
        change: SHARDS,
      },
    }),
    control("shareHolder", "parts of limits held", {
      today: everywhere(0, "not used yet"),
      later: {
        ...spread(size.shards, {
          total: PARTS,
          working: "the same parts, at the 150 brokers that hold them",
        }),
        change: SHARDS,
      },
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
    {
      role: "entry",
      title: "a member and a scheduler that do nothing",
      today: everywhere(1, "each daemon has one"),
      control: true,
      kind: "idle",
    },
    control("member", "members in the view", {
      today: everywhere(PLAN.daemons, "380"),
    }),
    control("link", "links in use", {
      today: {
        bearers: ALL,
        amount: 2 * BROKERS_TODAY,
        most: ALL - 1,
        working: "to 11 brokers, and from 380 entries at each of those",
      },
      later: {
        bearers: ALL,
        amount: size.shards * (1 + (ALL - size.shards) / ALL),
        most: ALL - 1,
        working: "to 150 brokers, and from 380 entries at each of those",
        change: "the price of more brokers",
      },
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
