/**
 * Probing: who answers.
 *
 * After the SWIM protocol (Das, Gupta and Motivala, 2002) with the local health
 * of Lifeguard (Dadgar, Phillips and Currey, 2018). In each period a member
 * probes one other, in a shuffled order; if that one does not answer, others
 * are asked to probe it, so that a cut between just these two removes nobody.
 * The cost of a period does not depend on the number of members.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import type { Clock } from "./clock.ts";
import type { Digest } from "./digest.ts";
import type { MemberBook } from "./membership_book.ts";
import { ProbeCodec } from "./membership_datagram.ts";
import type { Probe } from "./membership_datagram.ts";
import { Outcomes } from "./membership_outcomes.ts";
import type { Outcome } from "./membership_outcomes.ts";
import { ProbeOutbox } from "./membership_outbox.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import { Targets } from "./membership_targets.ts";
import type { ProbeTransport } from "./membership_transport.ts";

/** What probing needs. */
export interface ProberOptions {
  readonly book: MemberBook;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  readonly digest: Digest;
  /** The key that all members share. */
  readonly key: Uint8Array;
  /** Runs an effect until the scope of the membership closes. */
  readonly fork: (effect: Effect.Effect<void>) => void;
  /** Told after each moment in which the view may have changed. */
  readonly onChange: () => void;
}

/** Periods in which a new member asks for as many records as fit. */
const LEARNING_PERIODS = 10;
/** Lets datagrams that already wait in the socket be read. */
const READING_MS = 50;

/** Probes others and answers their probes. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #codec: ProbeCodec;
  readonly #outbox: ProbeOutbox;
  readonly #targets: Targets;
  readonly #outcomes = new Outcomes();
  #periods = 0;
  #slowness = 0;
  #judgesFrom = Number.NEGATIVE_INFINITY;

  constructor(options: ProberOptions, random: Random.Random) {
    this.#options = options;
    this.#targets = new Targets(options.book, random);
    const { key, settings } = options;
    this.#codec = new ProbeCodec(key, settings.maxDatagramBytes);
    this.#outbox = new ProbeOutbox({ ...options, codec: this.#codec });
    options.transport.listen((datagram) => this.#receive(datagram));
  }

  /** Has a member probed in the next period. */
  probeSoon(name: string): void {
    this.#targets.hurry(name);
  }

  /** Takes a member that joined into the running round. */
  addMember(name: string): void {
    this.#targets.join(name);
  }

  /** Probes one member a period, for ever. */
  readonly probeAll = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<never> {
      const { settings, clock } = this.#options;
      while (true) {
        const startedAt = clock.monotonic();
        this.#periods += 1;
        if (this.#periods % settings.reprobePeriods === 0) this.#reprobe();
        const target = this.#targets.next();
        if (target !== undefined) yield* this.#probe(target);
        const elapsedMs = clock.monotonic() - startedAt;
        yield* Effect.sleep(Math.max(0, settings.periodMs - elapsedMs));
      }
    },
  );

  /** Spreads news, removes those whose suspicion ran out, and notes pauses. */
  readonly keepBook = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<never> {
      const { settings, clock, book } = this.#options;
      let last = clock.monotonic();
      while (true) {
        yield* Effect.sleep(settings.gossipMs);
        const now = clock.monotonic();
        const missedMs = now - last - settings.gossipMs;
        last = now;
        if (missedMs > settings.pauseMs) this.#resume(missedMs);
        if (now >= this.#judgesFrom) book.removeExpired();
        if (book.hasNews) this.#gossip(settings.gossipFanout);
        this.#options.onChange();
      }
    },
  );

  /** Tells others at once that this process leaves, and waits for one of them. */
  readonly announceLeaving = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<void> {
      const { book, settings } = this.#options;
      book.leave();
      this.#options.onChange();
      const told = this.#targets.sample(settings.leaveFanout, []);
      if (told.length === 0) return;
      yield* this.#outcomes.during((outcome) => {
        const { sequence } = outcome;
        for (const name of told) this.#outbox.send("ping", name, { sequence });
        return outcome.answeredWithin(settings.periodMs);
      });
    },
  );

  /** Tells others that this process is gone. */
  depart(): void {
    this.#options.book.depart();
    this.#gossip(this.#options.settings.leaveFanout);
  }

  /**
   * Our own pause looks like everybody's silence. What they sent meanwhile waits
   * unread, timers fire before it is read, and they may have removed us. So this
   * process first contradicts, asks others for what they know, and judges nobody
   * until it has had the time to hear them.
   */
  #resume(pausedMs: number): void {
    const { book, settings, clock } = this.#options;
    book.resume(pausedMs);
    this.#judgesFrom = clock.monotonic() + 2 * settings.periodMs;
    for (const name of this.#targets.sample(settings.helpers, [])) {
      this.#outbox.send("ping", name, { wantsRecords: true });
    }
  }

  #probe(target: string): Effect.Effect<void> {
    return this.#outcomes.during((outcome) =>
      this.#awaitAnswer(target, outcome)
    );
  }

  readonly #awaitAnswer = Effect.fnUntraced(
    { self: this },
    function* (target: string, outcome: Outcome): Effect.fn.Return<void> {
      const { sequence } = outcome;
      const { settings, clock, book } = this.#options;
      const startedAt = clock.monotonic();
      const stretch = 1 + this.#slowness;
      const wantsRecords = this.#periods <= LEARNING_PERIODS;
      this.#outbox.send("ping", target, { sequence, wantsRecords });
      const answerMs = settings.answerMs * stretch;
      if (yield* outcome.answeredWithin(answerMs)) {
        return this.#setSlowness(-1);
      }
      const helpers = this.#targets.sample(settings.helpers, [target]);
      for (const helper of helpers) {
        this.#outbox.send("ping-request", helper, {
          sequence,
          subject: target,
        });
      }
      const restMs = settings.periodMs * stretch - answerMs;
      if (yield* outcome.answeredWithin(restMs)) {
        return this.#setSlowness(-1);
      }
      // The timer may have fired late, before the socket was read.
      if (yield* outcome.answeredWithin(READING_MS)) return;
      const expectedMs = settings.periodMs * stretch + READING_MS;
      const lateMs = clock.monotonic() - startedAt - expectedMs;
      // Helpers say when they got no answer either. If they too are silent,
      // it may be this process that is slow or cut off: it waits longer.
      if (outcome.nacks < helpers.length) this.#setSlowness(1);
      const paused = lateMs > settings.pauseMs || startedAt < this.#judgesFrom;
      if (!paused) book.suspect(target);
    },
  );

  #reprobe(): void {
    const name = this.#targets.pick(this.#options.book.returning());
    if (name !== undefined) this.#outbox.send("ping", name, {});
  }

  #gossip(fanout: number): void {
    for (const name of this.#targets.sample(fanout, [])) {
      this.#outbox.send("gossip", name, {});
    }
  }

  #receive(datagram: Uint8Array): void {
    const { book } = this.#options;
    const probe = this.#codec.open(datagram);
    if (probe === undefined) return;
    // Meant for a host that had this address before.
    if (probe.to !== book.self.member.name) return;
    const sender = probe.sender.member;
    const known = book.record(sender.name);
    const outdated = known !== undefined &&
      sender.incarnation < known.member.incarnation;
    if (!outdated) {
      book.hear(probe.sender, { isNews: true });
      this.#options.digest.receive(sender.name, probe.digest);
    }
    const self = book.self;
    // What a new member is taught, those who teach it know. Were it to pass all
    // that on as news, each restart would cost the fleet a minute of datagrams.
    const learning = this.#periods <= LEARNING_PERIODS;
    for (const record of probe.records) {
      const isCalm = record.health === "alive" && !record.leaving;
      book.hear(record, { isNews: !learning || !isCalm });
    }
    if (book.self.refutations > self.refutations) this.#setSlowness(1);
    this.#act(probe, outdated);
    this.#options.onChange();
  }

  #act(probe: Probe, outdated: boolean): void {
    const sender = probe.sender.member;
    switch (probe.kind) {
      case "ping":
        // An earlier start is answered too: should it be a later one whose
        // clock went back, it learns so from our record of it.
        return this.#outbox.sendTo(sender, {
          kind: "ack",
          to: sender.name,
          sequence: probe.sequence,
          wantsRecords: probe.wantsRecords,
        });
      case "ping-request":
        if (!outdated) this.#options.fork(this.#help(probe));
        return;
      case "ack":
        if (!outdated) this.#outcomes.of(probe.sequence)?.ack();
        return;
      case "nack":
        return this.#outcomes.of(probe.sequence)?.nack();
      case "gossip":
        return;
    }
  }

  /** Probes a member for another that got no answer from it. */
  #help(request: Probe): Effect.Effect<void> {
    const { subject } = request;
    if (subject === null) return Effect.void;
    return this.#outcomes.during((outcome) => {
      const { sequence } = outcome;
      this.#outbox.send("ping", subject, { sequence });
      return outcome.answeredWithin(this.#options.settings.answerMs);
    }).pipe(Effect.map((answered) => {
      const asker = request.sender.member.name;
      const { sequence } = request;
      this.#outbox.send(answered ? "ack" : "nack", asker, { sequence });
    }));
  }

  #setSlowness(change: number): void {
    const { maxSlowness } = this.#options.settings;
    const slowness = this.#slowness + change;
    this.#slowness = Math.max(0, Math.min(maxSlowness, slowness));
  }
}
