/**
 * Switches of the scheduler's mechanisms, so that the worth of each is measured.
 *
 * @module
 */

/** One switch a mechanism; all are on in ordinary use. */
export interface SchedulerSwitches {
  /** Strict priority between tiers; off: all classes share one tier. */
  readonly tiers: boolean;
  /** Minimum share of service for each waiting class. */
  readonly minimumShare: boolean;
  /** Weighted fair queueing between workspaces; off: order of arrival. */
  readonly fairQueueing: boolean;
  /** Costs from observed output lengths; off: one constant for all. */
  readonly costEstimate: boolean;
  /** Requests that cannot meet their target any more yield to those that can. */
  readonly lateLast: boolean;
  /** Refusal on arrival of what the measured rate cannot start in time. */
  readonly earlyRefusal: boolean;
  /** Slots adapted to observed latency; off: the table's number. */
  readonly adaptiveSlots: boolean;
  /** Slots kept free for the tiers above. */
  readonly headroom: boolean;
  /** Prefix affinity within a load bound. */
  readonly affinity: boolean;
  /** Ejection of stragglers and crashed runners. */
  readonly ejection: boolean;
}

/** Every mechanism on. */
export const ALL_ENABLED: SchedulerSwitches = {
  tiers: true,
  minimumShare: true,
  fairQueueing: true,
  costEstimate: true,
  lateLast: true,
  earlyRefusal: true,
  adaptiveSlots: true,
  headroom: true,
  affinity: true,
  ejection: true,
};
