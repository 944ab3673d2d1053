/**
 * Settings of claims on idempotency keys.
 *
 * @module
 */
import { DEFAULT_CLAIM_SETTINGS } from "@umbermast/coordination";
import * as setting from "./setting_types.ts";

const MIN_WINDOW_MS = 10_000;
const DAY_MS = 86_400_000;
/**
 * A partition is written every `partitions / writesPerSecond` seconds. These
 * bounds keep the interval within one second, since a claim times out after two.
 */
const MAX_PARTITIONS = 32;
const MIN_WRITES_PER_SECOND = 32;
const MAX_WRITES_PER_SECOND = 10_000;
/** Maximum delay before a write; well below the two-second time-out of a claim. */
const MAX_BATCH_MS = 500;
/** Capacity for answers in the newest part of a partition; longer ones do not fit. */
const MAX_ANSWER_BYTES = DEFAULT_CLAIM_SETTINGS.limits.answerBytes;

/** Settings of claims on idempotency keys. */
export const CLAIMS = {
  windowMs: setting.integer(MIN_WINDOW_MS, DAY_MS, {
    text:
      "Time for which a second try with the same key is sure to meet the first, in milliseconds. Longer keeps more claims in the store, so that a partition is full at a lower rate. The first daemon of a deployment fixes it in the store; later values are not used.",
    default: DEFAULT_CLAIM_SETTINGS.windowMs,
  }),
  partitions: setting.integer(1, MAX_PARTITIONS, {
    text:
      "Parts that keys are spread over. Fewer are written more often each, so that a claim waits less; more hold more claims. Fixed in the store like the window.",
    default: DEFAULT_CLAIM_SETTINGS.partitions,
  }),
  maxAnswerBytes: setting.integer(0, MAX_ANSWER_BYTES, {
    text:
      "Largest answer kept for a second try, in bytes as stored. A second try whose answer is not kept gets 409.",
    default: DEFAULT_CLAIM_SETTINGS.maxAnswerBytes,
  }),
  batchMs: setting.integer(0, MAX_BATCH_MS, {
    text:
      "Time for which claims are gathered into one write, in milliseconds. Longer adds to the wait of each claim.",
    default: DEFAULT_CLAIM_SETTINGS.batchMs,
  }),
  writesPerSecond: setting.integer(
    MIN_WRITES_PER_SECOND,
    MAX_WRITES_PER_SECOND,
    {
      text:
        "Bound on the writes to the store for all claims of the deployment, a second. Set the same for all daemons, and below what the store takes.",
      default: DEFAULT_CLAIM_SETTINGS.writesPerSecond,
    },
  ),
} as const;
