/**
 * Switches of the scheduler's mechanisms, to measure the benefit of each.
 *
 * @module
 */

/** One switch per mechanism; all are on in normal operation. */
export interface SchedulerSwitches {
  /** Strict priority between tiers; off: all classes share one tier. */
  readonly tiers: boolean;
  /** Minimum share of service for each waiting class. */
  readonly minimumShare: boolean;
  /** Weighted fair queueing between workspaces; off: in order of arrival. */
  readonly fairQueueing: boolean;
  /** Costs from observed output lengths; off: the same cost for all. */
  readonly costEstimate: boolean;
  /** Requests that can still meet their target precede those that cannot. */
  readonly lateLast: boolean;
  /** Refusal on arrival of asks that cannot start in time at the measured rate. */
  readonly earlyRefusal: boolean;
  /** Number of slots adapted to observed latency; off: the table's number. */
  readonly adaptiveSlots: boolean;
  /** Slots reserved for the highest tier. */
  readonly headroom: boolean;
  /** Prefix affinity within a bound on the difference in load. */
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
