/**
 * Where daemons find each other's addresses.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import { FeedError } from "./feed.ts";
import { pause } from "./pause.ts";

/** Entries of daemons that outlive them. All calls throw {@linkcode FeedError}. */
export interface DaemonRegistry {
  /** Enters a daemon, or replaces its entry. */
  enter(name: string, address: string): Promise<void>;
  /** Removes the entry of a daemon that leaves. */
  leave(name: string): Promise<void>;
  /** Addresses of all daemons that are entered, as "IP:PORT". */
  addresses(): Promise<readonly string[]>;
}

/** Milliseconds after which a call that failed is made again. */
const RETRY_MS = 2_000;
/**
 * Milliseconds between two readings while no peer answers; with a peer, the
 * other addresses come from it and the store is not asked.
 */
const ALONE_MS = 3_000;

/** Enters this daemon once and reads the others' addresses while it is alone. */
export class Registration {
  readonly #registry: DaemonRegistry;
  readonly #name: string;
  readonly #address: string;
  readonly #log: EventLog;
  #stopped = false;

  constructor(
    registry: DaemonRegistry,
    own: { readonly name: string; readonly address: string },
    log: EventLog,
  ) {
    this.#registry = registry;
    this.#name = own.name;
    this.#address = own.address;
    this.#log = log;
  }

  /** Makes no further calls. */
  stop(): void {
    this.#stopped = true;
  }

  /** Enters this daemon, however long the store is away. */
  async enter(): Promise<void> {
    while (!this.#stopped) {
      if (await this.#done("enter", () => this.#enter())) return;
      await pause(RETRY_MS, { background: true });
    }
  }

  /** Reads addresses at the start and whenever no peer answers. */
  async search(
    alone: () => boolean,
    found: (addresses: readonly string[]) => void,
  ): Promise<void> {
    while (!this.#stopped) {
      if (alone()) {
        await this.#done("search", async () => {
          found(await this.#registry.addresses());
        });
      }
      await pause(ALONE_MS * (0.5 + Math.random()), { background: true });
    }
  }

  /** Removes the entry; a failure leaves an address that nobody answers at. */
  async leave(): Promise<void> {
    await this.#done("leave", () => this.#registry.leave(this.#name));
  }

  #enter(): Promise<void> {
    return this.#registry.enter(this.#name, this.#address);
  }

  async #done(call: string, run: () => Promise<void>): Promise<boolean> {
    try {
      await run();
      return true;
    } catch (error) {
      if (!(error instanceof FeedError)) throw error;
      this.#log.event("registry_call_failed", { call, reason: error.message });
      return false;
    }
  }
}
