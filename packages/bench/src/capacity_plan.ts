/**
 * The planned size, and what follows from it by division alone.
 *
 * @module
 */

/** The size to design for. */
export const PLAN = {
  daemons: 380,
  runners: 2_400,
  accelerators: 9_500,
  requestsPerSecond: 14_000,
  tokensPerSecond: 4_600_000,
  betweenTokensMs: 64,
  firstTokenMs: 1_500,
  tiers: 6,
  workspaces: 310,
  models: 11,
  regions: 3,
  failureDomains: 6,
  editsPerDay: 1_600,
  inForceSeconds: 7,
  hostFailuresPerDay: 32,
  hostRestartsPerDay: 490,
} as const;

/** What a daemon may spend on control, and the platform's rates. */
export const BUDGET = {
  /** 3.1% of a core. */
  cpuMicrosPerSecond: 31_000,
  /** 64 MB. */
  memoryBytes: 64_000_000,
  /** 29 KB a second, both ways together. */
  bytesPerSecond: 29_000,
  /** "Several hundred" writes a second, taken at its lower end. */
  storeWritesPerSecond: 300,
  /** "About two thousand" reads a second; a waiting watch counts as one. */
  storeReadsPerSecond: 2_000,
} as const;

/** Design choices that the arithmetic needs; each is a constant of a module. */
export const DESIGN = {
  runnersPerShard: 16,
  /** Messages between daemons for a request: ask, grant, release. */
  messagesPerRequest: 3,
  watchersPerFailureDomain: 2,
  partitions: 16,
  /** A claim's window of ten minutes, and what is added to it. */
  claimRetentionSeconds: 615,
  /**
   * Requests that carry an idempotency key and may not be repeated. The plan
   * does not say; one in twenty is an assumption of this page.
   */
  claimShare: 0.05,
  /** Models that the requests of one row go to. An assumption. */
  modelsPerRow: 2,
  /** Edits of a day fall in working hours, bunched. An assumption. */
  editBunching: 10,
} as const;

const SECONDS_PER_DAY = 86_400;
const MILLIS = 1_000;

/** What one daemon, runner or shard sees on average. */
export interface Derived {
  readonly tokensPerAnswer: number;
  readonly answerSeconds: number;
  readonly openStreams: number;
  readonly streamsPerDaemon: number;
  readonly streamsPerRunner: number;
  readonly requestsPerDaemon: number;
  readonly tokensPerDaemon: number;
  readonly shards: number;
  readonly shardsPerDaemon: number;
  /** Most shards that one daemon brokers under bounded load. */
  readonly mostShardsPerDaemon: number;
  readonly asksPerShard: number;
  readonly streamsPerShard: number;
  readonly rows: number;
  readonly rowsPerDaemon: number;
  readonly shardsPerModel: number;
  readonly claimsPerSecond: number;
  readonly editsPerSecond: number;
  readonly editsPerSecondBunched: number;
  readonly watchers: number;
  readonly daemonsPerDomain: number;
  readonly runnersPerDomain: number;
  readonly daemonsPerRegion: number;
  readonly membershipChangesPerSecond: number;
}

/** Works out what the plan asks of one daemon, runner, shard and domain. */
export function derive(): Derived {
  const tokensPerAnswer = PLAN.tokensPerSecond / PLAN.requestsPerSecond;
  const answerSeconds = tokensPerAnswer * PLAN.betweenTokensMs / MILLIS;
  const openStreams = PLAN.requestsPerSecond * answerSeconds;
  const shards = PLAN.runners / DESIGN.runnersPerShard;
  const rows = PLAN.workspaces * PLAN.tiers;
  const editsPerSecond = PLAN.editsPerDay / SECONDS_PER_DAY;
  const changes = PLAN.hostFailuresPerDay + PLAN.hostRestartsPerDay;
  return {
    tokensPerAnswer,
    answerSeconds,
    openStreams,
    streamsPerDaemon: openStreams / PLAN.daemons,
    streamsPerRunner: openStreams / PLAN.runners,
    requestsPerDaemon: PLAN.requestsPerSecond / PLAN.daemons,
    tokensPerDaemon: PLAN.tokensPerSecond / PLAN.daemons,
    shards,
    shardsPerDaemon: shards / PLAN.daemons,
    mostShardsPerDaemon: Math.ceil(shards / PLAN.daemons),
    asksPerShard: PLAN.requestsPerSecond / shards,
    streamsPerShard: openStreams / shards,
    rows,
    rowsPerDaemon: rows / PLAN.daemons,
    shardsPerModel: shards / PLAN.models,
    claimsPerSecond: PLAN.requestsPerSecond * DESIGN.claimShare,
    editsPerSecond,
    editsPerSecondBunched: editsPerSecond * DESIGN.editBunching,
    watchers: PLAN.failureDomains * DESIGN.watchersPerFailureDomain,
    daemonsPerDomain: PLAN.daemons / PLAN.failureDomains,
    runnersPerDomain: PLAN.runners / PLAN.failureDomains,
    daemonsPerRegion: PLAN.daemons / PLAN.regions,
    membershipChangesPerSecond: changes / SECONDS_PER_DAY,
  };
}
