/**
 * Watches which version of the table each daemon has in force.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { fetchJson } from "@umbermast/testing";
import type { Absence, Sighting } from "./edit_record.ts";

const EVERY_MS = 20;

/** Asks every daemon at short intervals until it is stopped. */
export class VersionWatch {
  readonly sightings: Sighting[] = [];
  readonly #urls = new Map<string, string>();
  readonly #absences: { daemon: string; from: number; to?: number }[] = [];
  readonly #headers: Readonly<Record<string, string>>;
  readonly #loops: Promise<void>[] = [];
  #stopped = false;

  constructor(operatorToken: string) {
    this.#headers = { authorization: `Bearer ${operatorToken}` };
  }

  /** Times in which daemons were not running. */
  get absences(): readonly Absence[] {
    return this.#absences;
  }

  /** Operators' ports of the daemons that run now. */
  urls(): readonly string[] {
    return [...this.#urls.values()];
  }

  /** Begins to ask a daemon, or the one that took its place. */
  add(daemon: string, url: string): void {
    this.#urls.set(daemon, url);
    this.#loops.push(this.#follow(daemon, url));
  }

  /** Notes that a daemon is about to be ended. */
  remove(daemon: string): void {
    this.#urls.delete(daemon);
    this.#absences.push({ daemon, from: performance.now() });
  }

  /** Whether each daemon that runs has shown at least the version. */
  allAt(version: number): boolean {
    return [...this.#urls.keys()].every((daemon) =>
      this.sightings.findLast((each) => each.daemon === daemon)?.version ===
        version
    );
  }

  /** Stops asking. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#loops);
  }

  async #follow(daemon: string, url: string): Promise<void> {
    while (!this.#stopped && this.#urls.get(daemon) === url) {
      const version = await this.#versionAt(url);
      if (version !== undefined) this.#note(daemon, version);
      await pause(EVERY_MS);
    }
  }

  #note(daemon: string, version: number): void {
    const at = performance.now();
    const absence = this.#absences.findLast((each) => each.daemon === daemon);
    if (absence !== undefined && version > 0) absence.to ??= at;
    this.sightings.push({ daemon, at, version });
  }

  async #versionAt(url: string): Promise<number | undefined> {
    const headers = this.#headers;
    try {
      const answer = await fetchJson(`${url}/status`, { headers });
      const { tableVersion } = answer.body as { tableVersion?: number };
      return tableVersion;
    } catch {
      return undefined;
    }
  }
}
