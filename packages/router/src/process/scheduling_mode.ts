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

/** Settings that determine how requests are scheduled. */
export interface SchedulingSettings {
  /** `auto` unless an operator decides otherwise. */
  readonly scheduling: SchedulingSetting;
  /** Whether callers are expected to compete for more capacity than there is. */
  readonly pressure: boolean;
}

/**
 * Determines by service whether requests are scheduled adaptively: by the
 * observed pace of runners, in fair shares of workspaces and with queues for
 * plain services. With the setting `auto` this is done where the platform
 * announces pressure, and for services whose runners state how fast their hosts
 * are at the moment; all others are scheduled as they were before.
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
    const { scheduling, pressure } = this.#settings;
    if (scheduling !== "auto") return scheduling === "adaptive";
    return pressure || this.#statingSpeed.has(service);
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
