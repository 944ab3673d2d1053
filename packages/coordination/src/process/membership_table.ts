/**
 * The table of the states of all members, as known to this process.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import type { Host } from "./host_list.ts";
import type { MembershipEvent } from "./membership_event.ts";
import {
  GossipQueue,
  RecordBuffer,
  RecordRotation,
} from "./membership_gossip.ts";
import type { MemberRecord } from "./membership_record.ts";
import { hasLeft, mergeRecords, supersedes } from "./membership_record.ts";
import { SelfRecord } from "./membership_self.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import { Suspicions } from "./membership_suspicion.ts";
import { buildView } from "./membership_view.ts";
import type { Member, View } from "./membership.ts";

/** Dependencies and callbacks of a {@linkcode MemberTable}. */
export interface MemberTableOptions {
  readonly self: Member;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  /** Called for each change worth a log line. */
  readonly onEvent: (event: MembershipEvent) => void;
  /** Called for each member added to the view. */
  readonly onJoined: (name: string) => void;
}

/** Holds the records of all members and derives the view from them. */
export class MemberTable {
  readonly #options: MemberTableOptions;
  readonly #records = new Map<string, MemberRecord>();
  readonly #removedAt = new Map<string, number>();
  readonly #suspicions: Suspicions;
  readonly #gossipQueue = new GossipQueue();
  /** Hosts listed as leaving and not listed as live since. */
  readonly #leavingHosts = new Set<string>();
  #listedNames: ReadonlySet<string> = new Set();
  readonly #self: SelfRecord;
  #version = 1;
  #view: View | undefined;
  readonly #rotation: RecordRotation;

  constructor(options: MemberTableOptions) {
    this.#options = options;
    this.#suspicions = new Suspicions(options.settings);
    this.#self = new SelfRecord({
      ...options,
      onChange: (record) => {
        this.#gossipQueue.add(record);
        this.#invalidateView();
      },
    });
    this.#gossipQueue.add(this.self);
    this.#rotation = new RecordRotation(this.#records);
  }

  /** The record of this process. */
  get self(): MemberRecord {
    return this.#self.record;
  }

  /** Whether records are queued for gossip. */
  get hasPendingGossip(): boolean {
    return !this.#gossipQueue.isEmpty;
  }

  /** The record of a member; undefined if there is none. */
  get(name: string): MemberRecord | undefined {
    return name === this.self.member.name ? this.self : this.#records.get(name);
  }

  /** The current view. */
  view(): View {
    const records = [this.self, ...this.#records.values()];
    this.#view ??= buildView(this.#version, records, this.#leavingHosts);
    return this.#view;
  }

  /** Names of the other members in the view. */
  otherNames(): readonly string[] {
    const names: string[] = [];
    for (const [name, record] of this.#records) {
      if (record.health !== "removed") names.push(name);
    }
    return names;
  }

  /**
   * Removed members to probe again, because they may return: the listed ones
   * without limit, the others for `reprobeForMs`. Through these, regions that
   * were partitioned for an hour rejoin.
   */
  reprobeCandidates(): readonly string[] {
    const { clock, settings } = this.#options;
    const now = clock.monotonic();
    const names: string[] = [];
    for (const [name, at] of this.#removedAt) {
      const record = this.#records.get(name);
      if (record === undefined || hasLeft(record)) continue;
      const recent = now - at < settings.reprobeForMs;
      if (recent || this.#listedNames.has(name)) names.push(name);
    }
    return names;
  }

  /**
   * Merges a received record into the table.
   *
   * @param options `gossip` is false for records that other members already
   * have: a change is then not queued for gossip.
   */
  applyRecord(
    received: MemberRecord,
    options: { readonly gossip: boolean },
  ): void {
    const { gossip } = options;
    const { name } = received.member;
    if (name === this.self.member.name) return this.#self.refute(received);
    const known = this.#records.get(name);
    if (known === undefined) return this.#addUnknown(received, gossip);
    const isConfirmation = received.health === "suspect" &&
      known.health === "suspect" &&
      !supersedes(received, known) && !supersedes(known, received);
    if (isConfirmation) this.#confirmSuspicion(known, received.by);
    const merged = mergeRecords(known, received);
    if (merged !== undefined) this.#store(merged, gossip);
  }

  /** Marks as suspect a member that did not answer this process. */
  suspect(name: string): void {
    const known = this.#records.get(name);
    if (known === undefined || known.health === "removed") return;
    const by = this.self.member.name;
    if (known.health === "suspect") return this.#confirmSuspicion(known, by);
    this.#store({ ...known, health: "suspect", by });
  }

  /** Removes the members whose suspicion has expired. */
  removeExpired(): void {
    const by = this.self.member.name;
    for (const name of this.#suspicions.expired(this.#now())) {
      const known = this.#records.get(name);
      this.#suspicions.clear(name);
      if (known?.health !== "suspect") continue;
      this.#store({ ...known, health: "removed", by });
    }
    this.#purgeRemoved();
  }

  /**
   * Recovers from a pause of this process: reaffirms that it is alive before it
   * receives others' suspicions, and extends its own suspicions by the pause.
   */
  recoverFromPause(pausedMs: number): void {
    this.#suspicions.extend(pausedMs);
    this.#options.onEvent({ type: "paused", pausedMs });
    this.#self.reaffirm();
  }

  /** Marks this process as leaving. */
  markLeaving(): void {
    this.#self.markLeaving();
  }

  /** Marks this process as removed, for the last datagrams that it sends. */
  markLeft(): void {
    this.#self.markLeft();
  }

  /** Merges the platform's host list into the table. */
  applyHostList(hosts: readonly Host[]): void {
    const entries = hosts.filter((host) => host.role === "entry");
    this.#listedNames = new Set(entries.map((host) => host.name));
    for (const host of entries) {
      const { name, address, port, region, failureDomain, incarnation } = host;
      if (host.state === "leaving") this.#leavingHosts.add(name);
      else this.#leavingHosts.delete(name);
      const listed: MemberRecord = {
        member: { name, address, port, region, failureDomain, incarnation },
        refutations: 0,
        health: "alive",
        leaving: false,
        by: name,
      };
      this.applyRecord(listed, { gossip: false });
    }
    // The listed state of a host may have changed without a change of its
    // record.
    this.#invalidateView();
  }

  /**
   * Selects records for a datagram: first the receiver's own if it is not
   * alive, so that the receiver can refute it, then queued gossip, then other
   * records in rotation, so that all tables eventually converge.
   */
  recordsFor(
    receiver: string,
    space: { readonly bytes: number; readonly rotating: number },
  ): readonly MemberRecord[] {
    const buffer = new RecordBuffer(space.bytes);
    const ofReceiver = this.#records.get(receiver);
    if (ofReceiver !== undefined && ofReceiver.health !== "alive") {
      buffer.add(ofReceiver);
    }
    const logMembers = Math.log2(this.#records.size + 2);
    const limit = this.#options.settings.retransmits * Math.ceil(logMembers);
    this.#gossipQueue.fill(buffer, limit);
    const rotatingCount = Math.min(space.rotating, this.#records.size);
    for (let index = 0; index < rotatingCount; index++) {
      if (!buffer.add(this.#rotation.next())) break;
    }
    return buffer.records();
  }

  #addUnknown(received: MemberRecord, gossip: boolean): void {
    // The removal of a member without a record here changes nothing.
    if (
      received.health === "removed" &&
      !this.#listedNames.has(received.member.name)
    ) {
      return;
    }
    this.#store(received, gossip);
  }

  #store(record: MemberRecord, gossip = true): void {
    const { name } = record.member;
    const previous = this.#records.get(name);
    this.#records.set(name, record);
    if (gossip) this.#gossipQueue.add(record);
    this.#trackHealth(record, previous);
    if (record.health === "alive") this.#removeReplaced(record);
    this.#invalidateView();
  }

  #trackHealth(record: MemberRecord, previous: MemberRecord | undefined): void {
    const { name } = record.member;
    if (record.health !== "removed") this.#removedAt.delete(name);
    if (record.health === "alive") this.#suspicions.clear(name);
    if (record.health === "suspect") this.#addSuspicion(name, record.by);
    if (record.health === "removed") {
      this.#suspicions.clear(name);
      this.#removedAt.set(name, this.#now());
    }
    const previousHealth = previous?.health ?? "removed";
    if (
      previousHealth !== record.health || previous?.leaving !== record.leaving
    ) {
      const { health, leaving, by } = record;
      this.#options.onEvent({ type: "changed", name, health, leaving, by });
    }
    if (previousHealth === "removed" && record.health !== "removed") {
      this.#options.onJoined(name);
    }
  }

  /**
   * Removes a member whose address and port a later start of another member now
   * uses. Two processes cannot listen on one address and port, so the earlier
   * member is gone, and waiting for failed probes would leave its work without
   * an owner.
   */
  #removeReplaced(record: MemberRecord): void {
    const { name, address, port, incarnation } = record.member;
    for (const other of this.#records.values()) {
      const { member } = other;
      if (member.address !== address || member.port !== port) continue;
      if (member.name === name || other.health === "removed") continue;
      if (member.incarnation >= incarnation) continue;
      this.#store({ ...other, health: "removed", by: member.name });
    }
  }

  /**
   * Adds a member's confirmation of a suspicion. The confirmation is gossiped,
   * since the suspicion lasts longer at members that do not receive it.
   */
  #confirmSuspicion(suspect: MemberRecord, by: string): void {
    const isNew = this.#addSuspicion(suspect.member.name, by);
    if (isNew) this.#gossipQueue.add({ ...suspect, by });
  }

  #addSuspicion(name: string, by: string): boolean {
    const memberCount = this.otherNames().length + 1;
    return this.#suspicions.add(name, by, { now: this.#now(), memberCount });
  }

  /** Deletes removed members that will not be probed again, to bound memory. */
  #purgeRemoved(): void {
    const { settings } = this.#options;
    const now = this.#now();
    for (const [name, at] of this.#removedAt) {
      if (now - at < settings.reprobeForMs || this.#listedNames.has(name)) {
        continue;
      }
      this.#removedAt.delete(name);
      this.#leavingHosts.delete(name);
      this.#records.delete(name);
    }
  }

  #invalidateView(): void {
    this.#version += 1;
    this.#view = undefined;
  }

  #now(): number {
    return this.#options.clock.monotonic();
  }
}
