/**
 * Registration of daemons in the platform's store, and discovery of other daemons.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import { FeedError } from "./feed.ts";
import { pause } from "./pause.ts";

/**
 * Registry of daemons' addresses. An entry outlives its daemon. All methods
 * reject with {@linkcode FeedError} if the store fails.
 */
export interface DaemonRegistry {
  /**
   * Adds a daemon's entry, or replaces it.
   *
   * @returns the store's epoch, see `storeRevision`; a later one may lack the
   * entry.
   */
  register(name: string, address: string): Promise<number>;
  /** Removes the entry of a daemon that shuts down. */
  deregister(name: string): Promise<void>;
  /** Returns the addresses of all registered daemons, as "IP:PORT". */
  addresses(): Promise<readonly string[]>;
}

/**
 * Mean interval in ms between checks whether this daemon has to register. It is
 * connected to others before the first check, so that only few daemons register
 * when all start.
 */
const REGISTER_INTERVAL_MS = 1_000;
/** Time in ms for the seeds in the settings to respond before the store is read. */
const SEEDS_TIMEOUT_MS = 600;
/** Mean interval in ms between checks whether to search for other daemons. */
const SEARCH_INTERVAL_MS = 3_000;
/**
 * Number of checks after which a registered daemon searches even if it has peers.
 * Partitions of a fleet that have no links between them find each other this way.
 */
const REJOIN_CHECKS = 10;
/** Maximum number of found addresses that are dialled. */
const MAX_FOUND = 8;

/** State of a daemon on which its registration depends. */
export interface RegistrationContext {
  /** Whether other daemons should find this one in the store. */
  shouldRegister(): boolean;
  /** Whether this daemon has no peers. */
  isAlone(): boolean;
  /** Whether an address belongs to a known daemon. */
  isKnown(address: string): boolean;
  /** Number of the store's restores, as far as known. */
  storeEpoch(): number;
  /** Receives addresses at which daemons may be reachable. */
  addressesFound(addresses: readonly string[]): void;
}

/**
 * Registers this daemon in the store if others should find it there, and searches
 * the store for other daemons while it has no peers. Daemons get all other
 * contacts from each other, as calls of every daemon would be the largest part of all calls when
 * a fleet starts.
 */
export class Registration {
  readonly #registry: DaemonRegistry;
  readonly #context: RegistrationContext;
  readonly #name: string;
  readonly #address: string;
  readonly #log: EventLog;
  /** The store's epoch in which this daemon registered; -1 if it has not. */
  #registeredIn = -1;
  #stopped = false;

  constructor(
    registry: DaemonRegistry,
    options: {
      readonly own: { readonly name: string; readonly address: string };
      readonly context: RegistrationContext;
      readonly log: EventLog;
    },
  ) {
    const { own, context, log } = options;
    this.#registry = registry;
    this.#context = context;
    this.#name = own.name;
    this.#address = own.address;
    this.#log = log;
  }

  /** Registers and searches, as needed, until {@linkcode stop} is called. */
  start(): void {
    void this.#registerWhenNeeded();
    void this.#searchWhenNeeded();
  }

  /** Stops; no further calls are started. */
  stop(): void {
    this.#stopped = true;
  }

  /** Stops, and removes the entry. If that fails, a dead address remains. */
  async deregister(): Promise<void> {
    this.stop();
    if (this.#registeredIn < 0) return;
    await this.#tryCall("leave", () => this.#registry.deregister(this.#name));
  }

  async #registerWhenNeeded(): Promise<void> {
    while (!this.#stopped && this.#registeredIn < 0) {
      await pause(jitter(REGISTER_INTERVAL_MS), { background: true });
      if (!this.#stopped && this.#context.shouldRegister()) {
        await this.#register();
      }
    }
  }

  async #register(): Promise<void> {
    await this.#tryCall("enter", async () => {
      this.#registeredIn = await this.#registry.register(
        this.#name,
        this.#address,
      );
    });
  }

  /** Whether the store was restored since this daemon registered. */
  #isEntryLost(): boolean {
    return this.#registeredIn >= 0 &&
      this.#registeredIn < this.#context.storeEpoch();
  }

  async #searchWhenNeeded(): Promise<void> {
    await pause(SEEDS_TIMEOUT_MS, { background: true });
    for (let checks = 1; !this.#stopped; checks++) {
      const rejoin = checks % REJOIN_CHECKS === 0 &&
        this.#context.shouldRegister();
      if (this.#context.isAlone() || rejoin) await this.#search();
      if (this.#isEntryLost()) await this.#register();
      await pause(jitter(SEARCH_INTERVAL_MS), { background: true });
    }
  }

  async #search(): Promise<void> {
    await this.#tryCall("search", async () => {
      const addresses = await this.#registry.addresses();
      const unknown = addresses.filter((address) =>
        !this.#context.isKnown(address)
      );
      this.#context.addressesFound(sample(unknown, MAX_FOUND));
    });
  }

  async #tryCall(call: string, run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      // An entry of another writer may be malformed in any way.
      const reason = error instanceof FeedError ? error.message : String(error);
      this.#log.event("registry_call_failed", { call, reason });
    }
  }
}

/** Returns a random time around `ms`, so that daemons do not act in step. */
function jitter(ms: number): number {
  return ms * (0.5 + Math.random());
}

/** Returns up to `size` random items. */
function sample<T>(items: readonly T[], size: number): readonly T[] {
  const remaining = [...items];
  const chosen = [];
  while (remaining.length > 0 && chosen.length < size) {
    const index = Math.floor(Math.random() * remaining.length);
    chosen.push(...remaining.splice(index, 1));
  }
  return chosen;
}
