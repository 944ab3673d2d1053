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
  register(name: string, address: string): Promise<void>;
  /** Removes the entry of a daemon that leaves. */
  deregister(name: string): Promise<void>;
  /** Addresses of all daemons that are entered, as "IP:PORT". */
  addresses(): Promise<readonly string[]>;
}

/**
 * Milliseconds between two looks whether this daemon has to be entered. Before
 * the first one the others have been met, so that few enter when all start.
 */
const ENTER_LOOK_MS = 1_000;
/** Milliseconds for the addresses in the settings to answer before the store is asked. */
const SEEDS_MS = 600;
/** Milliseconds between two looks whether others have to be searched for. */
const SEARCH_LOOK_MS = 3_000;
/**
 * Looks after which a daemon that speaks for others searches though it is not
 * alone. Two parts of a fleet that know nothing of each other find together so.
 */
const REUNION_LOOKS = 10;
/** Addresses that are dialled of those that were found. */
const MAX_FOUND = 8;

/** What the registration decides by. */
export interface RegistrationContext {
  /** Whether others should find this daemon in the store. */
  shouldRegister(): boolean;
  /** Whether no other daemon answers. */
  isAlone(): boolean;
  /** Whether an address is that of a daemon that is known. */
  isKnown(address: string): boolean;
  /** Takes addresses of daemons that may be there. */
  addressesFound(addresses: readonly string[]): void;
}

/**
 * Enters this daemon in the store if others should find it there, and searches
 * the store for others while it is alone. Everything else daemons learn from each
 * other; calls of every daemon would be the largest part of all when a fleet
 * starts.
 */
export class Registration {
  readonly #registry: DaemonRegistry;
  readonly #host: RegistrationContext;
  readonly #name: string;
  readonly #address: string;
  readonly #log: EventLog;
  #entered = false;
  #stopped = false;

  constructor(
    registry: DaemonRegistry,
    options: {
      readonly own: { readonly name: string; readonly address: string };
      readonly context: RegistrationContext;
      readonly log: EventLog;
    },
  ) {
    const { own, context: host, log } = options;
    this.#registry = registry;
    this.#host = host;
    this.#name = own.name;
    this.#address = own.address;
    this.#log = log;
  }

  /** Enters and searches, as needed, for as long as the process lives. */
  start(): void {
    void this.#enterWhenNeeded();
    void this.#searchWhenNeeded();
  }

  /** Makes no further calls. */
  stop(): void {
    this.#stopped = true;
  }

  /** Removes the entry; a failure leaves an address that nobody answers at. */
  async deregister(): Promise<void> {
    this.stop();
    if (!this.#entered) return;
    await this.#done("leave", () => this.#registry.deregister(this.#name));
  }

  async #enterWhenNeeded(): Promise<void> {
    while (!this.#stopped && !this.#entered) {
      await pause(spread(ENTER_LOOK_MS), { background: true });
      if (this.#stopped || !this.#host.shouldRegister()) continue;
      this.#entered = await this.#done(
        "enter",
        () => this.#registry.register(this.#name, this.#address),
      );
    }
  }

  async #searchWhenNeeded(): Promise<void> {
    await pause(SEEDS_MS, { background: true });
    for (let looks = 1; !this.#stopped; looks++) {
      const reunion = looks % REUNION_LOOKS === 0 &&
        this.#host.shouldRegister();
      if (this.#host.isAlone() || reunion) await this.#search();
      await pause(spread(SEARCH_LOOK_MS), { background: true });
    }
  }

  async #search(): Promise<void> {
    await this.#done("search", async () => {
      const addresses = await this.#registry.addresses();
      const unknown = addresses.filter((each) => !this.#host.isKnown(each));
      this.#host.addressesFound(sample(unknown, MAX_FOUND));
    });
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

/** A span around `ms`, so that daemons that start together come apart. */
function spread(ms: number): number {
  return ms * (0.5 + Math.random());
}

function sample<T>(items: readonly T[], most: number): readonly T[] {
  const left = [...items];
  const taken = [];
  while (left.length > 0 && taken.length < most) {
    const at = Math.floor(Math.random() * left.length);
    taken.push(...left.splice(at, 1));
  }
  return taken;
}
