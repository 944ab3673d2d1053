/**
 * Asks the broker of a service for a slot, wherever the broker is.
 *
 * This daemon holds the truth about its own requests: what waits and what holds
 * a slot. The broker's state is a copy that is rebuilt from here whenever the
 * broker changes, forgets or falls silent.
 *
 * @module
 */
import type { Clock, Membership, Peers } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Log } from "../process/log.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { BrokerFinder } from "../process/scheduling/broker_finder.ts";
import type { BrokerHost } from "../process/scheduling/broker_host.ts";
import {
  type BrokerMessage,
  type EntryMessage,
  type GrantMessage,
  readEntryMessage,
  type RefuseMessage,
  TO_BROKER,
  TO_ENTRY,
} from "../process/scheduling/messages.ts";
import type { TableSource } from "../process/table_source.ts";
import type { Ask, Grant, Refusal, Settlement } from "./ask.ts";
import { deadlinePassed, refusalOf } from "./refusals.ts";
import type { Scheduler } from "./scheduler.ts";

/** Beats while something waits at a broker: its silence is noticed by them. */
const BEAT_MS = 200;
/** Beats while slots are only held there: a sign of life is enough. */
const HELD_BEAT_MS = 2_000;
/** A broker that answers no beat for this long is passed over by tier 0. */
const SILENCE_MS = 600;
/** Each lower tier waits this much longer, so that higher ones fall back first. */
const SILENCE_STEP_MS = 200;
const MOST_SILENCE_MS = 2_000;
const RETRY_MS = 1_000;

/** What the scheduler works with. */
export interface BrokeredParts {
  readonly host: BrokerHost;
  readonly directory: RunnerDirectory;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
  readonly membership?: Membership;
}

/** An ask that waits for its answer. */
interface Pending {
  readonly ask: Ask;
  readonly askedAt: number;
  readonly resume: (end: Effect.Effect<Grant, Refusal>) => void;
  readonly timer: NodeJS.Timeout;
  epoch: number;
  broker: string;
}

/** A slot that an attempt of this daemon uses. */
interface Held {
  readonly ask: Ask;
  readonly runner: string;
  broker: string;
}

/** What is known of a daemon that was asked. */
interface Contact {
  /** Monotonic milliseconds since when an answer is awaited; absent if none is. */
  silentSince: number | undefined;
}

/** Services at brokers, each pair once. */
class Places {
  readonly #services = new Map<string, Set<string>>();

  add(broker: string, service: string): void {
    const known = this.#services.get(broker) ?? new Set();
    this.#services.set(broker, known.add(service));
  }

  *all(): Generator<readonly [broker: string, service: string]> {
    for (const [broker, services] of this.#services) {
      for (const service of services) yield [broker, service];
    }
  }
}

/** Gets slots from brokers. */
export class BrokeredScheduler implements Scheduler {
  readonly #parts: BrokeredParts;
  readonly #finder: BrokerFinder;
  readonly #pending = new Map<string, Pending>();
  readonly #held = new Map<string, Held>();
  readonly #contacts = new Map<string, Contact>();

  constructor(parts: BrokeredParts) {
    this.#parts = parts;
    this.#finder = new BrokerFinder({
      membership: parts.membership,
      directory: parts.directory,
    });
    parts.host.connectOwnEntry((message) =>
      this.#receive(this.#finder.self, message)
    );
  }

  /** Serves answers and follows the view until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { peers, membership, log } = this.#parts;
      peers?.handle(TO_ENTRY, (from, message) =>
        Effect.sync(() => {
          const read = readEntryMessage(message);
          if (read !== undefined) return this.#receive(from, read);
          log.warning("scheduler_message_malformed", { from });
        }));
      const ends = [
        membership?.subscribe(() => this.#follow()),
        peers?.subscribe((_peer, state) => {
          if (state === "up") this.#presentAll();
        }),
      ];
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          for (const end of ends) end?.();
        })
      );
      yield* Effect.forkScoped(this.#beats());
    });
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.callback<Grant, Refusal>((resume) => {
      const left = ask.deadline - this.#parts.clock.now();
      if (left <= 0) return resume(Effect.fail(deadlinePassed(ask, RETRY_MS)));
      const pending: Pending = {
        ask,
        askedAt: this.#now,
        resume,
        // The caller gets its final answer at the deadline whatever happens to
        // the broker meanwhile.
        timer: setTimeout(() => this.#expire(pending), left),
        epoch: 1,
        broker: this.#brokerFor(ask),
      };
      this.#pending.set(ask.askId, pending);
      this.#sendAsk(pending);
      return Effect.sync(() => this.#withdraw(pending));
    });
  }

  get #now(): number {
    return this.#parts.clock.monotonic();
  }

  #beats(): Effect.Effect<never> {
    let beats = 0;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(BEAT_MS);
      this.#follow();
      beats += 1;
      const all = beats % (HELD_BEAT_MS / BEAT_MS) === 0;
      for (
        const broker of all ? this.#brokersInUse() : this.#brokersAwaited()
      ) {
        this.#beat(broker);
      }
    }));
  }

  /** Moves what is at a daemon that is no longer the one to ask. */
  #follow(): void {
    this.#forgetStrangers();
    const left = new Places();
    const reached = new Places();
    const asked: Pending[] = [];
    for (const pending of this.#pending.values()) {
      const broker = this.#brokerFor(pending.ask);
      if (broker === pending.broker) continue;
      left.add(pending.broker, pending.ask.service);
      reached.add(broker, pending.ask.service);
      pending.broker = broker;
      pending.epoch += 1;
      asked.push(pending);
    }
    for (const held of this.#held.values()) {
      const broker = this.#brokerFor(held.ask);
      if (broker === held.broker) continue;
      left.add(held.broker, held.ask.service);
      reached.add(broker, held.ask.service);
      held.broker = broker;
    }
    // What is held goes before what waits: a broker that hears of the waiting
    // first would grant them slots that are in use.
    for (const [broker, service] of reached.all()) {
      this.#present(broker, service);
    }
    for (const pending of asked) this.#sendAsk(pending);
    for (const [broker, service] of left.all()) this.#present(broker, service);
  }

  /** A silent daemon that has left the view would be asked for ever. */
  #forgetStrangers(): void {
    const members = this.#parts.membership?.view().members ?? [];
    const names = new Set(members.map((it) => it.member.name));
    for (const name of this.#contacts.keys()) {
      if (!names.has(name)) this.#contacts.delete(name);
    }
  }

  /**
   * The daemon to ask: the broker, or the first of its successors that answers.
   * A higher tier passes a silent one over earlier, so that it is not behind
   * lower ones at the successor.
   */
  #brokerFor(ask: Ask): string {
    const rank = this.#finder.rank(ask.service);
    const patience = this.#patience(ask.class);
    const [first, second] = rank;
    if (first === undefined) return this.#finder.self;
    if (!this.#isSilent(first, patience)) return first;
    if (second !== undefined && !this.#isSilent(second, patience)) {
      return second;
    }
    return this.#finder.self;
  }

  #patience(className: string): number {
    const tier = this.#parts.table.current().classes
      .find((it) => it.name === className)?.tier ?? MOST_SILENCE_MS;
    return Math.min(MOST_SILENCE_MS, SILENCE_MS + tier * SILENCE_STEP_MS);
  }

  #isSilent(name: string, patienceMs: number): boolean {
    if (name === this.#finder.self) return false;
    const since = this.#contacts.get(name)?.silentSince;
    return since !== undefined && this.#now - since > patienceMs;
  }

  #brokersInUse(): ReadonlySet<string> {
    const names = new Set(this.#brokersAwaited());
    for (const held of this.#held.values()) names.add(held.broker);
    return names;
  }

  /** Brokers that owe an answer. */
  #brokersAwaited(): ReadonlySet<string> {
    const names = new Set<string>();
    for (const pending of this.#pending.values()) names.add(pending.broker);
    // A silent one is asked on, so that its return is noticed.
    for (const [name, contact] of this.#contacts) {
      if (contact.silentSince !== undefined) names.add(name);
    }
    return names;
  }

  #beat(broker: string): void {
    for (const service of this.#servicesAt(broker)) {
      let waiting = 0;
      let held = 0;
      for (const it of this.#pending.values()) {
        if (it.broker === broker && it.ask.service === service) waiting++;
      }
      for (const it of this.#held.values()) {
        if (it.broker === broker && it.ask.service === service) held++;
      }
      this.#awaitAnswer(broker);
      this.#send(broker, { type: "beat", service, waiting, held });
    }
  }

  #awaitAnswer(broker: string): void {
    if (broker === this.#finder.self) return;
    const contact = this.#contacts.get(broker);
    if (contact?.silentSince !== undefined) return;
    this.#contacts.set(broker, { silentSince: this.#now });
  }

  /** Services of which something is at the broker; any one, if nothing is. */
  #servicesAt(broker: string): ReadonlySet<string> {
    const services = new Set<string>();
    for (const it of this.#pending.values()) {
      if (it.broker === broker) services.add(it.ask.service);
    }
    for (const it of this.#held.values()) {
      if (it.broker === broker) services.add(it.ask.service);
    }
    const any = this.#parts.directory.services()[0];
    if (services.size === 0 && any !== undefined) services.add(any);
    return services;
  }

  #receive(from: string, message: EntryMessage): void {
    const contact = this.#contacts.get(from);
    if (contact !== undefined) contact.silentSince = undefined;
    switch (message.type) {
      case "grant":
        return this.#granted(from, message);
      case "refuse":
        return this.#refused(from, message);
      case "beat_reply":
        if (message.resync) this.#resync(from, message.service);
    }
  }

  #granted(from: string, message: GrantMessage): void {
    const held = this.#held.get(message.askId);
    // The same grant again: the broker did not know that it had arrived.
    if (held?.runner === message.runner && held.broker === from) return;
    const pending = this.#pending.get(message.askId);
    const runner = this.#parts.directory.find(message.runner);
    const current = pending?.broker === from && pending.epoch === message.epoch;
    if (pending === undefined || !current) {
      return this.#giveBack(from, message.askId);
    }
    if (runner === undefined || runner.state === "leaving") {
      // The broker does not know yet that the runner leaves; it must get
      // nothing new, so the slot goes back and the ask is made again.
      this.#giveBack(from, message.askId);
      pending.epoch += 1;
      return this.#sendAsk(pending, message.runner);
    }
    this.#settle(pending);
    const { ask } = pending;
    this.#held.set(ask.askId, { ask, runner: runner.name, broker: from });
    pending.resume(Effect.succeed({
      askId: ask.askId,
      runner,
      expiresAt: this.#parts.clock.now() + message.validForMs,
      release: (settlement) => this.#release(ask.askId, settlement),
    }));
  }

  #refused(from: string, message: RefuseMessage): void {
    const pending = this.#pending.get(message.askId);
    if (pending === undefined || pending.broker !== from) return;
    if (pending.epoch !== message.epoch) return;
    this.#settle(pending);
    pending.resume(Effect.fail(
      refusalOf(pending.ask, message.code, message),
    ));
  }

  /** Tells a broker that a slot it granted is not wanted here. */
  #giveBack(broker: string, askId: string): void {
    for (const service of this.#parts.directory.services()) {
      this.#send(broker, { type: "withdraw", service, askId });
    }
  }

  #release(askId: string, settlement: Settlement): void {
    const held = this.#held.get(askId);
    if (held === undefined) return;
    this.#held.delete(askId);
    const { service } = held.ask;
    this.#send(held.broker, { type: "release", service, askId, settlement });
  }

  #expire(pending: Pending): void {
    this.#withdraw(pending);
    pending.resume(Effect.fail(deadlinePassed(pending.ask, RETRY_MS)));
  }

  #withdraw(pending: Pending): void {
    const { askId, service } = pending.ask;
    if (this.#pending.get(askId) !== pending) return;
    this.#settle(pending);
    this.#send(pending.broker, { type: "withdraw", service, askId });
  }

  #settle(pending: Pending): void {
    clearTimeout(pending.timer);
    this.#pending.delete(pending.ask.askId);
  }

  #presentAll(): void {
    for (const broker of this.#brokersInUse()) {
      for (const service of this.#servicesAt(broker)) {
        this.#resync(broker, service);
      }
    }
  }

  /** Presents all that is at a broker and asks anew for what waits there. */
  #resync(broker: string, service: string): void {
    this.#present(broker, service);
    for (const pending of this.#pending.values()) {
      if (pending.broker !== broker || pending.ask.service !== service) {
        continue;
      }
      this.#sendAsk(pending);
    }
  }

  #present(broker: string, service: string): void {
    const waiting = [...this.#pending.values()]
      .filter((it) => it.broker === broker && it.ask.service === service)
      .map((it) => it.ask.askId);
    const held = [...this.#held.values()]
      .filter((it) => it.broker === broker && it.ask.service === service)
      .map(({ ask, runner }) => ({
        askId: ask.askId,
        runner,
        workspace: ask.workspace,
        class: ask.class,
        promptTokens: ask.promptTokens,
      }));
    this.#send(broker, { type: "present", service, waiting, held });
  }

  #sendAsk(pending: Pending, excluded?: string): void {
    const { ask, epoch, askedAt, broker } = pending;
    const rank = this.#finder.rank(ask.service);
    this.#awaitAnswer(broker);
    this.#send(broker, {
      type: "ask",
      askId: ask.askId,
      epoch,
      requestId: ask.requestId,
      service: ask.service,
      ...(ask.model === undefined ? {} : { model: ask.model }),
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
      ...(ask.maxTokens === undefined ? {} : { maxTokens: ask.maxTokens }),
      ...(ask.prefixDigest === undefined
        ? {}
        : { prefixDigest: ask.prefixDigest }),
      remainingMs: Math.max(0, ask.deadline - this.#parts.clock.now()),
      waitedMs: Math.max(0, this.#now - askedAt),
      excluded: excluded === undefined
        ? ask.excluded
        : [...ask.excluded, excluded],
      alone: broker === this.#finder.self && !rank.slice(0, 2).includes(broker),
    });
  }

  #send(broker: string, message: BrokerMessage): void {
    if (broker !== this.#finder.self) {
      this.#parts.peers?.send(broker, TO_BROKER, message);
      return;
    }
    this.#parts.host.receive(broker, message);
  }
}
