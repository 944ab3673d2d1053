/**
 * Failure detection by probing.
 *
 * Follows the SWIM protocol (Das, Gupta and Motivala, 2002) with the local
 * health score of Lifeguard (Dadgar, Phillips and Currey, 2018). In each period
 * a member pings one other member, in shuffled order. If no ack arrives, it
 * requests indirect probes from other members, so that a broken path between
 * just two members removes neither. The cost of a period does not depend on the
 * number of members.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import type { Clock } from "./clock.ts";
import type { Digest } from "./digest.ts";
import type { MemberTable } from "./membership_table.ts";
import { ProbeCodec } from "./membership_datagram.ts";
import type { Probe } from "./membership_datagram.ts";
import { PendingProbes } from "./membership_pending.ts";
import type { PendingProbe } from "./membership_pending.ts";
import { ProbeOutbox } from "./membership_outbox.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import { ProbeSchedule } from "./membership_schedule.ts";
import type { ProbeTransport } from "./membership_transport.ts";

/** Dependencies and settings of a {@linkcode Prober}. */
export interface ProberOptions {
  readonly table: MemberTable;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  readonly digest: Digest;
  /** Authentication key shared by all members. */
  readonly key: Uint8Array;
  /** Runs an effect until the scope of the membership closes. */
  readonly fork: (effect: Effect.Effect<void>) => void;
  /** Called whenever the view may have changed. */
  readonly onChange: () => void;
}

/** Periods after the start in which pings request as many records as fit. */
const BOOTSTRAP_PERIODS = 10;
/** Grace period for reading datagrams already buffered by the socket. */
const SOCKET_DRAIN_MS = 50;

/** Probes other members and answers their probes. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #codec: ProbeCodec;
  readonly #outbox: ProbeOutbox;
  readonly #schedule: ProbeSchedule;
  readonly #pendingProbes = new PendingProbes();
  #periodCount = 0;
  #localHealthScore = 0;
  /** Monotonic time before which no member is suspected or removed. */
  #suspectsFrom = Number.NEGATIVE_INFINITY;

  constructor(options: ProberOptions, random: Random.Random) {
    this.#options = options;
    this.#schedule = new ProbeSchedule(options.table, random);
    const { key, settings } = options;
    this.#codec = new ProbeCodec(key, settings.maxDatagramBytes);
    this.#outbox = new ProbeOutbox({ ...options, codec: this.#codec });
    options.transport.listen((datagram) => this.#receive(datagram));
  }

  /** Schedules a member for the next period. */
  probeSoon(name: string): void {
    this.#schedule.prioritize(name);
  }

  /** Adds a member that joined to the current round. */
  addMember(name: string): void {
    this.#schedule.insert(name);
  }

  /** Probes one member per period, without end. */
  readonly runProbing = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<never> {
      const { settings, clock } = this.#options;
      while (true) {
        const startedAt = clock.monotonic();
        this.#periodCount += 1;
        if (this.#periodCount % settings.reprobePeriods === 0) this.#reprobe();
        const target = this.#schedule.next();
        if (target !== undefined) yield* this.#probeMember(target);
        const elapsedMs = clock.monotonic() - startedAt;
        yield* Effect.sleep(Math.max(0, settings.periodMs - elapsedMs));
      }
    },
  );

  /**
   * Sends gossip, removes members whose suspicion has expired, and detects
   * pauses of this process, without end.
   */
  readonly runGossipAndExpiry = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<never> {
      const { settings, clock, table } = this.#options;
      let last = clock.monotonic();
      while (true) {
        yield* Effect.sleep(settings.gossipMs);
        const now = clock.monotonic();
        const missedMs = now - last - settings.gossipMs;
        last = now;
        if (missedMs > settings.pauseMs) this.#recoverFromPause(missedMs);
        if (now >= this.#suspectsFrom) table.removeExpired();
        if (table.hasPendingGossip) this.#sendGossip(settings.gossipFanout);
        this.#options.onChange();
      }
    },
  );

  /**
   * Announces that this process is leaving, and waits for the first ack, for
   * at most a period.
   */
  readonly announceLeaving = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<void> {
      const { table, settings } = this.#options;
      table.markLeaving();
      this.#options.onChange();
      const names = this.#schedule.sample(settings.leaveFanout, []);
      if (names.length === 0) return;
      yield* this.#pendingProbes.track((pending) => {
        const { sequence } = pending;
        for (const name of names) this.#outbox.send("ping", name, { sequence });
        return pending.waitForAck(settings.periodMs);
      });
    },
  );

  /** Announces that this process has left. */
  announceLeft(): void {
    this.#options.table.markLeft();
    this.#sendGossip(this.#options.settings.leaveFanout);
  }

  /**
   * Recovers from a pause of this process. To a process that was paused, all
   * other members seem not to have answered: their datagrams are still unread,
   * timers fire before these are read, and the others may have removed this
   * process. It therefore first refutes its removal, requests records from
   * others, and neither suspects nor removes a member until their answers have had time to
   * arrive.
   */
  #recoverFromPause(pausedMs: number): void {
    const { table, settings, clock } = this.#options;
    table.recoverFromPause(pausedMs);
    this.#suspectsFrom = clock.monotonic() + 2 * settings.periodMs;
    for (const name of this.#schedule.sample(settings.helpers, [])) {
      this.#outbox.send("ping", name, { wantsRecords: true });
    }
  }

  #probeMember(target: string): Effect.Effect<void> {
    return this.#pendingProbes.track((pending) =>
      this.#pingMember(target, pending)
    );
  }

  readonly #pingMember = Effect.fnUntraced(
    { self: this },
    function* (target: string, pending: PendingProbe): Effect.fn.Return<void> {
      const { sequence } = pending;
      const { settings, clock, table } = this.#options;
      const startedAt = clock.monotonic();
      const multiplier = 1 + this.#localHealthScore;
      const wantsRecords = this.#periodCount <= BOOTSTRAP_PERIODS;
      this.#outbox.send("ping", target, { sequence, wantsRecords });
      const answerMs = settings.answerMs * multiplier;
      if (yield* pending.waitForAck(answerMs)) {
        return this.#adjustLocalHealth(-1);
      }
      const helpers = this.#schedule.sample(settings.helpers, [target]);
      for (const helper of helpers) {
        this.#outbox.send("ping-request", helper, {
          sequence,
          subject: target,
        });
      }
      const remainingMs = settings.periodMs * multiplier - answerMs;
      if (yield* pending.waitForAck(remainingMs)) {
        return this.#adjustLocalHealth(-1);
      }
      // The timer may have fired late, before the socket was read.
      if (yield* pending.waitForAck(SOCKET_DRAIN_MS)) return;
      const expectedMs = settings.periodMs * multiplier + SOCKET_DRAIN_MS;
      const lateMs = clock.monotonic() - startedAt - expectedMs;
      // Helpers send a nack when they get no ack either. If nacks are missing
      // too, this process itself may be slow or cut off, so it waits longer.
      if (pending.nackCount < helpers.length) this.#adjustLocalHealth(1);
      const inconclusive = lateMs > settings.pauseMs ||
        startedAt < this.#suspectsFrom;
      if (!inconclusive) table.suspect(target);
    },
  );

  #reprobe(): void {
    const name = this.#schedule.pick(this.#options.table.reprobeCandidates());
    if (name !== undefined) this.#outbox.send("ping", name, {});
  }

  #sendGossip(fanout: number): void {
    for (const name of this.#schedule.sample(fanout, [])) {
      this.#outbox.send("gossip", name, {});
    }
  }

  #receive(datagram: Uint8Array): void {
    const { table } = this.#options;
    const probe = this.#codec.decode(datagram);
    if (probe === undefined) return;
    // The datagram was addressed to a host that used this address before.
    if (probe.to !== table.self.member.name) return;
    const sender = probe.sender.member;
    const known = table.get(sender.name);
    const stale = known !== undefined &&
      sender.incarnation < known.member.incarnation;
    if (!stale) {
      table.applyRecord(probe.sender, { gossip: true });
      this.#options.digest.receive(sender.name, probe.digest);
    }
    const self = table.self;
    // The members that send records to a new member already have them. If it
    // gossiped all of these, each restart would cost the fleet a minute of
    // datagrams.
    const bootstrapping = this.#periodCount <= BOOTSTRAP_PERIODS;
    for (const record of probe.records) {
      const isHealthy = record.health === "alive" && !record.leaving;
      table.applyRecord(record, { gossip: !bootstrapping || !isHealthy });
    }
    if (table.self.refutations > self.refutations) this.#adjustLocalHealth(1);
    this.#dispatch(probe, stale);
    this.#options.onChange();
  }

  #dispatch(probe: Probe, stale: boolean): void {
    const sender = probe.sender.member;
    switch (probe.kind) {
      case "ping":
        // A lower incarnation is answered too: if the sender is in fact a later
        // start whose clock went back, the ack contains its record with the
        // higher incarnation.
        return this.#outbox.sendTo(sender, {
          kind: "ack",
          to: sender.name,
          sequence: probe.sequence,
          wantsRecords: probe.wantsRecords,
        });
      case "ping-request":
        if (!stale) this.#options.fork(this.#probeIndirectly(probe));
        return;
      case "ack":
        if (!stale) this.#pendingProbes.get(probe.sequence)?.recordAck();
        return;
      case "nack":
        return this.#pendingProbes.get(probe.sequence)?.recordNack();
      case "gossip":
        return;
    }
  }

  /** Probes a member on behalf of another that got no ack from it. */
  #probeIndirectly(request: Probe): Effect.Effect<void> {
    const { subject } = request;
    if (subject === null) return Effect.void;
    return this.#pendingProbes.track((pending) => {
      const { sequence } = pending;
      this.#outbox.send("ping", subject, { sequence });
      return pending.waitForAck(this.#options.settings.answerMs);
    }).pipe(Effect.map((acked) => {
      const requester = request.sender.member.name;
      const { sequence } = request;
      this.#outbox.send(acked ? "ack" : "nack", requester, { sequence });
    }));
  }

  /**
   * Changes the local health score: 0 is healthy, and a higher score means that
   * this process is slower or less reachable.
   */
  #adjustLocalHealth(change: number): void {
    const { maxSlowness } = this.#options.settings;
    const score = this.#localHealthScore + change;
    this.#localHealthScore = Math.max(0, Math.min(maxSlowness, score));
  }
}
