/**
 * Selects the services whose requests are scheduled adaptively.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Setting of the scheduling of all services. */
export type SchedulingSetting = "auto" | "adaptive" | "basic";

/** All values of the setting. */
export const SCHEDULING_SETTINGS: readonly SchedulingSetting[] = [
  "auto",
  "adaptive",
  "basic",
];

/**
 * Cores from which pressure alone makes scheduling adaptive. Requests that wait cost
 * processor time: with 0.12 of a core, daemons fell behind until they sent requests
 * whose callers had left.
 */
const MIN_PROCESSOR = 0.25;

/** Settings that determine how requests are scheduled. */
export interface SchedulingSettings {
  /** `auto` unless an operator decides otherwise. */
  readonly scheduling: SchedulingSetting;
  /** Whether callers are expected to compete for more capacity than there is. */
  readonly pressure: boolean;
  /** Processor time of this host in cores of usual speed; undefined if unknown. */
  readonly processor?: number | undefined;
}

/**
 * Determines by service whether requests are scheduled adaptively: by the
 * observed pace of runners, in fair shares of workspaces and with queues for
 * plain services. With the setting `auto` this is done where the platform
 * announces pressure and the host has the processor time for it, and for services
 * whose runners state how fast their hosts are at the moment; all others are
 * scheduled as they were before.
 *
 * @example
 * ```ts
 * const mode = new SchedulingMode(settings.scheduling, log);
 * if (mode.isAdaptive("drafting-llm")) queue.order(byShare);
 * ```
 */
export class SchedulingMode {
  readonly #settings: SchedulingSettings;
  readonly #log: EventLog;
  /** Names of the services whose runners state their speed. */
  readonly #statingSpeed = new Set<string>();

  constructor(settings: SchedulingSettings, log: EventLog) {
    this.#settings = settings;
    this.#log = log;
  }

  /** Whether the requests to a service are scheduled adaptively. */
  isAdaptive(service: string): boolean {
    if (this.observesEngines(service)) return true;
    const { scheduling, pressure, processor = Infinity } = this.#settings;
    return scheduling === "auto" && pressure && processor >= MIN_PROCESSOR;
  }

  /**
   * Whether the pace of a service's engines is observed. Without stated figures it
   * is not by default: on hosts with little processor time up to 2.8 times as many
   * prompt tokens were prefilled again.
   */
  observesEngines(service: string): boolean {
    const { scheduling } = this.#settings;
    if (scheduling !== "auto") return scheduling === "adaptive";
    return this.#statingSpeed.has(service);
  }

  /** Records that a runner of a service states how fast its host is. */
  recordStatedSpeed(service: string): void {
    if (this.#statingSpeed.has(service)) return;
    const before = this.isAdaptive(service);
    this.#statingSpeed.add(service);
    if (before || !this.isAdaptive(service)) return;
    this.#log.event("scheduling_adaptive", { service });
  }
}
