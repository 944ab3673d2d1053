/**
 * The software versions at which the runners of a service have recently served.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/** The versions of a service that are listed, and when others were listed last. */
interface ServiceVersions {
  listed: ReadonlySet<string>;
  readonly leftAt: Map<string, number>;
}

/** Observes the versions in the list of runners. */
export class SoftwareVersions {
  readonly #services = new Map<string, ServiceVersions>();
  readonly #retentionMs: () => number;

  /**
   * @param retentionMs time in ms for which a version counts that is no longer
   * listed.
   */
  constructor(retentionMs: () => number) {
    this.#retentionMs = retentionMs;
  }

  /** Records the runners that are listed from now on. */
  record(runners: readonly Runner[], now: number): void {
    const listed = new Map<string, Set<string>>();
    for (const { service, softwareVersion = "" } of runners) {
      const versions = listed.get(service) ?? new Set();
      listed.set(service, versions.add(softwareVersion));
    }
    for (const [service, versions] of this.#services) {
      for (const version of versions.listed) {
        versions.leftAt.set(version, now);
      }
      versions.listed = listed.get(service) ?? new Set();
    }
    for (const [service, versions] of listed) {
      if (this.#services.has(service)) continue;
      this.#services.set(service, { listed: versions, leftAt: new Map() });
    }
  }

  /** Whether runners of several versions have served a service recently. */
  isMixed(service: string, now: number): boolean {
    return this.#recent(service, now).size > 1;
  }

  #recent(service: string, now: number): ReadonlySet<string> {
    const versions = this.#services.get(service);
    if (versions === undefined) return new Set();
    const retentionMs = this.#retentionMs();
    const left = [...versions.leftAt]
      .filter(([, at]) => now - at < retentionMs)
      .map(([version]) => version);
    return new Set([...versions.listed, ...left]);
  }
}
