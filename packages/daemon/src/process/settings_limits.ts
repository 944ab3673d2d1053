/**
 * Settings of callers' limits, attempts, retries, scheduling, shutdown and
 * placement.
 *
 * @module
 */
import * as setting from "./setting_types.ts";

const MIB = 1_048_576;
const HOUR_MS = 3_600_000;
const MAX_COUNT = 1_000_000;

/** Limits that apply to callers. */
export const CALLER_LIMITS = {
  bodyBytes: setting.integer(1, 64 * MIB, {
    text: "Largest request body, in bytes. A longer one is refused with 413.",
    default: 8 * MIB,
  }),
  heldBodyBytes: setting.integer(1, 1024 * MIB, {
    text:
      "Bytes that the bodies of all callers take together, until their requests have ended; at least one body of the largest size fits. Further ones are refused with 503, after bodies that hardly come were ended with 408.",
    default: 32 * MIB,
  }),
  headerBytes: setting.integer(1024, MIB, {
    text:
      "Largest request head, in bytes. A longer one is refused with 431 and the connection is closed.",
    default: 16_384,
  }),
  headerTimeoutMs: setting.timeLimit(
    "Time for a caller to send a whole request head, in milliseconds. A slower one is refused with 408.",
    10_000,
  ),
  bodyTimeoutMs: setting.timeLimit(
    "Time for a caller to send a whole body, in milliseconds. A slower one is refused with 408.",
    30_000,
  ),
  idleCallerMs: setting.timeLimit(
    "Time without a request after which a caller's connection is closed, in milliseconds.",
    60_000,
  ),
  callerWriteTimeoutMs: setting.timeLimit(
    "Time that a caller may take to make room for more of its answer, in milliseconds. A slower one loses its connection, and its engine work is cancelled.",
    20_000,
  ),
  callerBufferBytes: setting.integer(1024, 16 * MIB, {
    text:
      "Bytes of an answer held for a caller that reads slowly. Beyond it the runner's answer is not read until the caller has caught up.",
    default: 65_536,
  }),
  connections: setting.integer(1, MAX_COUNT, {
    text:
      "Open connections of callers; fewer where the process may not open some more than twice as many descriptors. A further one takes the place of the one that has been idle the longest, or is closed at once.",
    default: 10_000,
  }),
  queuedRequests: setting.integer(1, MAX_COUNT, {
    text:
      "Requests of callers held at once, waiting or being served. Further ones are refused with 503.",
    default: 10_000,
  }),
} as const;

/** Limits of attempts at runners. */
export const ATTEMPT_LIMITS = {
  connectMs: setting.timeLimit(
    "Time to connect to a runner, in milliseconds.",
    1000,
  ),
  firstTokenMs: setting.timeLimit(
    "Time from the send to the first byte of a streamed answer, in milliseconds. A runner that takes longer counts as silent.",
    10_000,
  ),
  betweenTokensMs: setting.timeLimit(
    "Time between two pieces of a streamed answer, in milliseconds. After it the stream is resumed on a new connection.",
    2000,
  ),
  wholeAnswerMs: setting.timeLimit(
    "Time from the send to the head of a whole answer, in milliseconds, at most.",
    120_000,
  ),
  wholeAnswerTokenMs: setting.timeLimit(
    "Time allowed for each token that a whole answer of an engine may have, in milliseconds.",
    100,
  ),
  bodyIdleMs: setting.timeLimit(
    "Time between two pieces of a whole answer's body, in milliseconds. After it the attempt is lost.",
    5000,
  ),
  resumeHeadMs: setting.timeLimit(
    "Time from asking for the rest of a stream to its head, in milliseconds.",
    2000,
  ),
  resumableS: setting.integer(0, 3600, {
    text: "Seconds for which an engine keeps a dropped stream for a resume.",
    default: 10,
  }),
  fruitlessResumes: setting.integer(0, 100, {
    text: "Resumes in a row without a token before a stream is given up.",
    default: 2,
  }),
  attempts: setting.integer(1, 100, {
    text: "Attempts of one request, the first included.",
    default: 3,
  }),
  heldAnswerBytes: setting.integer(0, 64 * MIB, {
    text:
      "Largest whole answer held until it is known to be complete, in bytes. Longer ones are passed on as they come; when one breaks, so does the caller's connection.",
    default: 4 * MIB,
  }),
} as const;

/** The retry budget. */
export const RETRY_LIMITS = {
  share: setting.number(0, 1, {
    text:
      "Retries earned by each request that was answered whole. Bounds the load that retries add during an outage.",
    default: 0.1,
  }),
  burst: setting.integer(0, MAX_COUNT, {
    text: "Most retries saved up; also what a new daemon starts with.",
    default: 20,
  }),
} as const;

/** Settings of the scheduler. */
export const SCHEDULING = {
  reportIntervalMs: setting.integer(10, HOUR_MS, {
    text: "Time between two load reports asked of a runner, in milliseconds.",
    default: 250,
  }),
} as const;

/** Switches of the scheduler's mechanisms, which are off only to measure them. */
export const SWITCHES = {
  tiers: setting.flag("Strict priority between tiers."),
  minimumShare: setting.flag("Minimum share of service of a waiting class."),
  fairQueueing: setting.flag("Weighted fair queueing between workspaces."),
  costEstimate: setting.flag("Costs estimated from observed output lengths."),
  lateLast: setting.flag("Requests that miss their target anyway yield."),
  earlyRefusal: setting.flag("Refusal of what cannot start in time."),
  adaptiveSlots: setting.flag("Slots of a runner adapted to its latency."),
  headroom: setting.flag("Slots kept free for the tiers above."),
  affinity: setting.flag("Preference for a runner that holds the prefix."),
  ejection: setting.flag("Ejection of stragglers and crashed runners."),
} as const;

/** Settings of the shutdown. */
export const SHUTDOWN = {
  graceMs: setting.integer(0, HOUR_MS, {
    text:
      "Time for requests in flight to end after SIGTERM, in milliseconds. Those left then get a broken end and the exit status is 1.",
    default: 300_000,
  }),
} as const;

/** Settings of the placement of models. */
export const PLACEMENT = {
  enabled: setting.flag(
    "Whether this daemon may give engines orders to load and unload models. Off, it leaves that to the others.",
  ),
  intervalMs: setting.integer(100, HOUR_MS, {
    text:
      "Time between two looks at demand and engines, in milliseconds. Shorter follows demand sooner and asks every engine more often.",
    default: 10_000,
  }),
  reportLagMs: setting.integer(0, HOUR_MS, {
    text:
      "Longest time until an engine's load report shows an order, the loading of a model included, in milliseconds. Too short a time orders twice; a new holder of the lease waits it out.",
    default: 30_000,
  }),
} as const;
