/**
 * Reads the table and the host list from the platform at intervals.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Table } from "@umbermast/table";
import type { Log } from "./log.ts";
import type { Runner } from "./runner.ts";

const INTERVAL_MS = 500;
const TIMEOUT_MS = 2000;

interface Host extends Runner {
  readonly role: "entry" | "runner";
}

/** What was last read. */
export class PlatformPoll {
  table: Table | undefined;
  version = 0;
  runners: readonly Runner[] = [];
  readonly #url: string;
  readonly #hostsUrl: string;
  readonly #log: Log;

  constructor(
    platform: { readonly url: string; readonly hostsUrl?: string },
    log: Log,
  ) {
    this.#url = platform.url.replace(/\/$/, "");
    this.#hostsUrl = (platform.hostsUrl ?? platform.url).replace(/\/$/, "");
    this.#log = log;
  }

  /** Reads for as long as the process runs. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.promise(() => this.#readAll())
  ).pipe(Effect.andThen(Effect.sleep(INTERVAL_MS)), Effect.forever);

  async #readAll(): Promise<void> {
    try {
      await this.#readTable();
      await this.#readHosts();
    } catch (error) {
      this.#log.warning("platform_unreachable", { reason: String(error) });
    }
  }

  async #get(url: string): Promise<unknown> {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const response = await fetch(url, { signal });
    if (!response.ok) throw new Error(`${url} answered ${response.status}`);
    return await response.json();
  }

  async #readTable(): Promise<void> {
    const object = await this.#get(`${this.#url}/objects/tables/main`) as {
      readonly version: number;
      readonly value: { readonly table: Table };
    };
    if (object.version <= this.version) return;
    this.version = object.version;
    this.table = object.value.table;
    this.#log.event("table_in_force", { version: object.version });
  }

  async #readHosts(): Promise<void> {
    const list = await this.#get(`${this.#hostsUrl}/hosts`) as {
      readonly hosts: readonly Host[];
    };
    this.runners = list.hosts.filter(({ role }) => role === "runner");
  }
}
