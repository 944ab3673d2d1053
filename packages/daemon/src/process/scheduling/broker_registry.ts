/**
 * The brokers that run in this daemon, one for each service that it receives
 * asks for.
 *
 * A daemon acts as the broker for any entry that addresses it, even if its own
 * view names another daemon. Views differ briefly, and a refusal would leave the
 * entry without a broker in that time.
 *
 * @module
 */
import type { Membership, Peers, View } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { Broker } from "./broker.ts";
import type { BrokerDependencies } from "./broker_dependencies.ts";
import { BrokerFinder } from "./broker_finder.ts";
import {
  type BrokerMessage,
  type EntryMessage,
  parseBrokerMessage,
  TO_BROKER,
  TO_ENTRY,
} from "./messages.ts";

const TICK_MS = 50;
/** Time within which entries send their snapshots after a change of broker. */
const HANDOVER_MS = 150;
/**
 * Time without messages after which a broker is removed, so that the daemon
 * stops polling the service's runners.
 */
const IDLE_TIMEOUT_MS = 60_000;
/** Service names come from asks; a faulty peer could send any number of them. */
const MAX_BROKERS = 1_000;

/** Dependencies of a broker registry. */
export interface BrokerRegistryDependencies
  extends Omit<BrokerDependencies, "send" | "members"> {
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
  readonly membership?: Membership;
}

/** Runs brokers and routes messages between them and the entries. */
export class BrokerRegistry {
  readonly #dependencies: BrokerRegistryDependencies;
  readonly #brokers = new Map<string, Broker>();
  #deliverLocally: (message: EntryMessage) => void = () => {};
  #members: ReadonlySet<string> = new Set();
  readonly #finder: BrokerFinder;
  /** Services whose broker is this daemon according to its own view. */
  readonly #ownedServices = new Set<string>();

  constructor(dependencies: BrokerRegistryDependencies) {
    this.#dependencies = dependencies;
    this.#finder = new BrokerFinder({
      membership: dependencies.membership,
      directory: dependencies.directory,
    });
  }

  /** The broker of a service, if one runs here. */
  find(service: string): Broker | undefined {
    return this.#brokers.get(service);
  }

  /** Sets the receiver of messages to this daemon's own entry. */
  connectLocalEntry(deliver: (message: EntryMessage) => void): void {
    this.#deliverLocally = deliver;
  }

  /**
   * Handles a message from an entry.
   *
   * @param from name of the entry daemon; this daemon's own name for its own
   * entry.
   */
  receive(from: string, message: BrokerMessage): void {
    const broker = this.#brokerOf(message.service);
    if (broker === undefined) return;
    switch (message.type) {
      case "ask":
        return broker.ask(from, message);
      case "withdraw":
        return broker.withdraw(from, message.askId);
      case "release":
        return broker.release(from, message);
      case "present":
        return broker.applySnapshot(from, message);
      case "beat":
        return broker.heartbeat(from, message);
    }
  }

  /**
   * Handles messages from peers and subscribes to runners, load reports, table
   * and view until the scope closes.
   */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { directory, reports, table, peers, membership } =
        this.#dependencies;
      peers?.handle(
        TO_BROKER,
        (from, message) => Effect.sync(() => this.#receiveRaw(from, message)),
      );
      const unsubscribers = [
        directory.subscribe(() => {
          for (const broker of this.#brokers.values()) broker.runnersChanged();
        }),
        reports.subscribe((runner) => {
          const service = directory.find(runner)?.service ?? "";
          this.#brokers.get(service)?.reportReceived(runner);
        }),
        table.subscribe(() => {
          const current = table.current();
          for (const broker of this.#brokers.values()) {
            broker.tableChanged(current);
          }
        }),
      ];
      if (membership !== undefined) {
        this.#viewChanged(membership.view());
        unsubscribers.push(
          membership.subscribe((view) => this.#viewChanged(view)),
        );
      }
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          for (const unsubscribe of unsubscribers) unsubscribe();
        })
      );
      yield* Effect.forkScoped(this.#tickLoop());
    });
  }

  #tickLoop(): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(TICK_MS);
      for (const [service, broker] of this.#brokers) {
        broker.tick();
        if (broker.idleMs > IDLE_TIMEOUT_MS) this.#close(service);
      }
    }));
  }

  /** Removes an idle broker. */
  #close(service: string): void {
    this.#brokers.delete(service);
    this.#ownedServices.delete(service);
    this.#dependencies.reports.stopWatching(service);
  }

  /** Validates and handles a message from a peer. */
  #receiveRaw(from: string, message: unknown): void {
    const parsed = parseBrokerMessage(message);
    if (parsed !== undefined) return this.receive(from, parsed);
    this.#dependencies.log.warning("scheduler_message_malformed", { from });
  }

  #viewChanged(view: View): void {
    const present = new Set(view.members.map((listed) => listed.member.name));
    for (const gone of this.#members) {
      if (present.has(gone)) continue;
      for (const broker of this.#brokers.values()) broker.entryGone(gone);
    }
    this.#members = present;
    for (const [service, broker] of this.#brokers) {
      const owns = this.#finder.rank(service)[0] === this.#self;
      if (owns && !this.#ownedServices.has(service)) {
        broker.pauseGranting(HANDOVER_MS);
      }
      if (owns) this.#ownedServices.add(service);
      else this.#ownedServices.delete(service);
    }
  }

  #brokerOf(service: string): Broker | undefined {
    const existing = this.#brokers.get(service);
    if (existing !== undefined) return existing;
    if (this.#brokers.size >= MAX_BROKERS) return undefined;
    const created = new Broker(service, {
      ...this.#dependencies,
      send: (entry, message) => this.#send(entry, message),
      members: () => this.#members.size,
    });
    this.#brokers.set(service, created);
    this.#dependencies.reports.watch(service);
    if (this.#members.size > 1) created.pauseGranting(HANDOVER_MS);
    if (this.#finder.rank(service)[0] === this.#self) {
      this.#ownedServices.add(service);
    }
    return created;
  }

  #send(entry: string, message: EntryMessage): void {
    if (entry === this.#self) {
      // Delivered asynchronously, as over a link: a reply that the entry handles
      // synchronously would modify the broker's state in the middle of a step.
      return queueMicrotask(() => this.#deliverLocally(message));
    }
    // A grant that could not be sent is detected at the entry's next heartbeat,
    // whose counts then differ from the broker's state.
    this.#dependencies.peers?.send(entry, TO_ENTRY, message);
  }

  get #self(): string {
    return this.#dependencies.membership?.self.name ?? "";
  }
}
