/**
 * The brokers that run at this daemon, one for each service it is asked for.
 *
 * A daemon brokers for whoever takes it for the broker, whatever its own view
 * says: views differ for moments, and a refusal would leave the asker without
 * any broker just then.
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
/** Entries present what they hold within this time of a change of broker. */
const HAND_OVER_MS = 150;
/** A daemon that no longer brokers a service stops polling its runners. */
const IDLE_MS = 60_000;
/** Services come from asks, so a faulty peer could name any number of them. */
const BROKERS_LIMIT = 1_000;

/** What a broker host works with. */
export interface BrokerRegistryDependencies
  extends Omit<BrokerDependencies, "send" | "members"> {
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
  readonly membership?: Membership;
}

/** Runs brokers and passes messages between them and the entries. */
export class BrokerRegistry {
  readonly #parts: BrokerRegistryDependencies;
  readonly #brokers = new Map<string, Broker>();
  #toOwnEntry: (message: EntryMessage) => void = () => {};
  #members: ReadonlySet<string> = new Set();

  readonly #finder: BrokerFinder;
  /** Services that this daemon takes itself to be the broker of. */
  readonly #owned = new Set<string>();

  constructor(parts: BrokerRegistryDependencies) {
    this.#parts = parts;
    this.#finder = new BrokerFinder({
      membership: parts.membership,
      directory: parts.directory,
    });
  }

  /** The broker of a service, if it was ever asked for here. */
  find(service: string): Broker | undefined {
    return this.#brokers.get(service);
  }

  /** Sets where grants and refusals for this daemon's own entry go. */
  connectLocalEntry(deliver: (message: EntryMessage) => void): void {
    this.#toOwnEntry = deliver;
  }

  /** Takes a message of an entry; `self` for this daemon's own. */
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

  /** Serves peers and follows runners, reports, table and view until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { directory, reports, table, peers, membership } = this.#parts;
      peers?.handle(
        TO_BROKER,
        (from, message) =>
          Effect.sync(() => this.#receiveUnread(from, message)),
      );
      const ends = [
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
        ends.push(membership.subscribe((view) => this.#viewChanged(view)));
      }
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          for (const end of ends) end();
        })
      );
      yield* Effect.forkScoped(this.#ticks());
    });
  }

  #ticks(): Effect.Effect<never> {
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(TICK_MS);
      for (const [service, broker] of this.#brokers) {
        broker.tick();
        if (broker.idleMs > IDLE_MS) this.#close(service);
      }
    }));
  }

  /** Forgets a broker that nobody has asked for a while. */
  #close(service: string): void {
    this.#brokers.delete(service);
    this.#owned.delete(service);
    this.#parts.reports.stopWatching(service);
  }

  #receiveUnread(from: string, message: unknown): void {
    const read = parseBrokerMessage(message);
    if (read !== undefined) return this.receive(from, read);
    this.#parts.log.warning("scheduler_message_malformed", { from });
  }

  #viewChanged(view: View): void {
    const present = new Set(view.members.map((it) => it.member.name));
    for (const gone of this.#members) {
      if (present.has(gone)) continue;
      for (const broker of this.#brokers.values()) broker.entryGone(gone);
    }
    this.#members = present;
    for (const [service, broker] of this.#brokers) {
      const owns = this.#finder.rank(service)[0] === this.#self;
      if (owns && !this.#owned.has(service)) broker.pauseGranting(HAND_OVER_MS);
      if (owns) this.#owned.add(service);
      else this.#owned.delete(service);
    }
  }

  #brokerOf(service: string): Broker | undefined {
    const known = this.#brokers.get(service);
    if (known !== undefined) return known;
    if (this.#brokers.size >= BROKERS_LIMIT) return undefined;
    const made = new Broker(service, {
      ...this.#parts,
      send: (entry, message) => this.#send(entry, message),
      members: () => this.#members.size,
    });
    this.#brokers.set(service, made);
    this.#parts.reports.watch(service);
    if (this.#members.size > 1) made.pauseGranting(HAND_OVER_MS);
    if (this.#finder.rank(service)[0] === this.#self) this.#owned.add(service);
    return made;
  }

  #send(entry: string, message: EntryMessage): void {
    if (entry === this.#self) {
      // Delivered later, as over a link: an answer that came back within the
      // broker's own step would change its books halfway through.
      return queueMicrotask(() => this.#toOwnEntry(message));
    }
    // A grant that no link takes is found by the entry's next beat, whose count
    // differs from the broker's account of it.
    this.#parts.peers?.send(entry, TO_ENTRY, message);
  }

  get #self(): string {
    return this.#parts.membership?.self.name ?? "";
  }
}
