/**
 * What this process believes of all members.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import type { Host } from "./host_list.ts";
import type { MembershipEvent } from "./membership_event.ts";
import { News, RecordSpace, Rotation } from "./membership_news.ts";
import type { MemberRecord } from "./membership_record.ts";
import { hasLeft, joinRecords, supersedes } from "./membership_record.ts";
import { SelfRecord } from "./membership_self.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import { Suspicions } from "./membership_suspicion.ts";
import { buildView } from "./membership_view.ts";
import type { Member, View } from "./membership.ts";

/** What the book needs of the process around it. */
export interface MemberBookOptions {
  readonly self: Member;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  /** Told of each change worth a log line. */
  readonly onEvent: (event: MembershipEvent) => void;
  /** Told of each member that comes into the view. */
  readonly onJoined: (name: string) => void;
}

/** Records of all members, and the view that follows from them. */
export class MemberBook {
  readonly #options: MemberBookOptions;
  readonly #records = new Map<string, MemberRecord>();
  readonly #removedAt = new Map<string, number>();
  readonly #suspicions: Suspicions;
  readonly #news = new News();
  /** Hosts that the list called leaving and has not called live since. */
  readonly #drained = new Set<string>();
  #listed: ReadonlySet<string> = new Set();
  readonly #self: SelfRecord;
  #version = 1;
  #view: View | undefined;
  readonly #rotation: Rotation;

  constructor(options: MemberBookOptions) {
    this.#options = options;
    this.#suspicions = new Suspicions(options.settings);
    this.#self = new SelfRecord({
      ...options,
      onChange: (record) => {
        this.#news.add(record);
        this.#changed();
      },
    });
    this.#news.add(this.self);
    this.#rotation = new Rotation(this.#records);
  }

  /** This process, as it believes itself to be. */
  get self(): MemberRecord {
    return this.#self.record;
  }

  /** Whether there is news to send. */
  get hasNews(): boolean {
    return !this.#news.empty;
  }

  /** What is believed of a member; undefined for one never heard of. */
  record(name: string): MemberRecord | undefined {
    return name === this.self.member.name ? this.self : this.#records.get(name);
  }

  /** The present view. */
  view(): View {
    const records = [this.self, ...this.#records.values()];
    this.#view ??= buildView(this.#version, records, this.#drained);
    return this.#view;
  }

  /** Names of the other members in the view. */
  others(): readonly string[] {
    const names: string[] = [];
    for (const [name, record] of this.#records) {
      if (record.health !== "removed") names.push(name);
    }
    return names;
  }

  /**
   * Removed members that may come back: the listed ones, and for a while those
   * that were never listed. Regions that lose each other for an hour find each
   * other again through these.
   */
  returning(): readonly string[] {
    const { clock, settings } = this.#options;
    const now = clock.monotonic();
    const names: string[] = [];
    for (const [name, at] of this.#removedAt) {
      const record = this.#records.get(name);
      if (record === undefined || hasLeft(record)) continue;
      const recent = now - at < settings.reprobeForMs;
      if (recent || this.#listed.has(name)) names.push(name);
    }
    return names;
  }

  /**
   * Takes in the belief of another member, and passes it on unless others know
   * it anyway.
   */
  hear(heard: MemberRecord, options: { readonly isNews: boolean }): void {
    const { isNews } = options;
    const { name } = heard.member;
    if (name === this.self.member.name) return this.#self.hear(heard);
    const known = this.#records.get(name);
    if (known === undefined) return this.#hearOfStranger(heard, isNews);
    const shared = heard.health === "suspect" && known.health === "suspect" &&
      !supersedes(heard, known) && !supersedes(known, heard);
    if (shared) this.#confirm(known, heard.by);
    const joined = joinRecords(known, heard);
    if (joined !== undefined) this.#set(joined, isNews);
  }

  /** Suspects a member that did not answer this process. */
  suspect(name: string): void {
    const known = this.#records.get(name);
    if (known === undefined || known.health === "removed") return;
    const by = this.self.member.name;
    if (known.health === "suspect") return this.#confirm(known, by);
    this.#set({ ...known, health: "suspect", by });
  }

  /** Removes the members whose suspicion has run out. */
  removeExpired(): void {
    const by = this.self.member.name;
    for (const name of this.#suspicions.expired(this.#now())) {
      const known = this.#records.get(name);
      this.#suspicions.clear(name);
      if (known?.health !== "suspect") continue;
      this.#set({ ...known, health: "removed", by });
    }
    this.#forget();
  }

  /**
   * After a pause of this process: says that it is alive before others tell it
   * that they doubt it, and gives those it suspects the time that it missed.
   */
  resume(pausedMs: number): void {
    this.#suspicions.extend(pausedMs);
    this.#options.onEvent({ type: "paused", pausedMs });
    this.#self.affirm();
  }

  /** Marks this process as leaving. */
  leave(): void {
    this.#self.leave();
  }

  /** Marks this process as gone, for the last datagrams that it sends. */
  depart(): void {
    this.#self.depart();
  }

  /** Takes in the platform's list. */
  list(hosts: readonly Host[]): void {
    const entries = hosts.filter((host) => host.role === "entry");
    this.#listed = new Set(entries.map((host) => host.name));
    for (const host of entries) {
      const { name, address, port, region, failureDomain, incarnation } = host;
      if (host.state === "leaving") this.#drained.add(name);
      else this.#drained.delete(name);
      const listed: MemberRecord = {
        member: { name, address, port, region, failureDomain, incarnation },
        refutations: 0,
        health: "alive",
        leaving: false,
        by: name,
      };
      this.hear(listed, { isNews: false });
    }
    // A host's state may have changed without a word from its process.
    this.#changed();
  }

  /**
   * Records for a datagram: what the receiver has to contradict first, then
   * news, then others in turn, so that in the end all know all.
   */
  recordsFor(
    receiver: string,
    space: { readonly bytes: number; readonly rotating: number },
  ): readonly MemberRecord[] {
    const taken = new RecordSpace(space.bytes);
    const believed = this.#records.get(receiver);
    if (believed !== undefined && believed.health !== "alive") {
      taken.put(believed);
    }
    const members = Math.log2(this.#records.size + 2);
    const limit = this.#options.settings.retransmits * Math.ceil(members);
    this.#news.fill(taken, limit);
    const turns = Math.min(space.rotating, this.#records.size);
    for (let turn = 0; turn < turns; turn++) {
      if (!taken.put(this.#rotation.next())) break;
    }
    return taken.records();
  }

  #hearOfStranger(heard: MemberRecord, isNews: boolean): void {
    // Nothing follows from the end of one that was never known here.
    if (heard.health === "removed" && !this.#listed.has(heard.member.name)) {
      return;
    }
    this.#set(heard, isNews);
  }

  #set(record: MemberRecord, isNews = true): void {
    const { name } = record.member;
    const before = this.#records.get(name);
    this.#records.set(name, record);
    if (isNews) this.#news.add(record);
    this.#trackHealth(record, before);
    if (record.health === "alive") this.#replaceAtAddress(record);
    this.#changed();
  }

  #trackHealth(record: MemberRecord, before: MemberRecord | undefined): void {
    const { name } = record.member;
    if (record.health !== "removed") this.#removedAt.delete(name);
    if (record.health === "alive") this.#suspicions.clear(name);
    if (record.health === "suspect") this.#suspect(name, record.by);
    if (record.health === "removed") {
      this.#suspicions.clear(name);
      this.#removedAt.set(name, this.#now());
    }
    const was = before?.health ?? "removed";
    if (was !== record.health || before?.leaving !== record.leaving) {
      const { health, leaving, by } = record;
      this.#options.onEvent({ type: "changed", name, health, leaving, by });
    }
    if (was === "removed" && record.health !== "removed") {
      this.#options.onJoined(name);
    }
  }

  /**
   * Two processes cannot listen on one address and port. Once the later start
   * of another name speaks from there, the earlier member is gone, and waiting
   * for probes to find out would leave its work without an owner.
   */
  #replaceAtAddress(record: MemberRecord): void {
    const { name, address, port, incarnation } = record.member;
    for (const other of this.#records.values()) {
      const { member } = other;
      if (member.address !== address || member.port !== port) continue;
      if (member.name === name || other.health === "removed") continue;
      if (member.incarnation >= incarnation) continue;
      this.#set({ ...other, health: "removed", by: member.name });
    }
  }

  /** One more member shares a suspicion; unless told, the others wait longer. */
  #confirm(suspect: MemberRecord, by: string): void {
    const isNew = this.#suspect(suspect.member.name, by);
    if (isNew) this.#news.add({ ...suspect, by });
  }

  #suspect(name: string, by: string): boolean {
    const members = this.others().length + 1;
    return this.#suspicions.add(name, by, { now: this.#now(), members });
  }

  /** Drops removed members that will not be probed again, to bound the space. */
  #forget(): void {
    const { settings } = this.#options;
    const now = this.#now();
    for (const [name, at] of this.#removedAt) {
      if (now - at < settings.reprobeForMs || this.#listed.has(name)) continue;
      this.#removedAt.delete(name);
      this.#drained.delete(name);
      this.#records.delete(name);
    }
  }

  #changed(): void {
    this.#version += 1;
    this.#view = undefined;
  }

  #now(): number {
    return this.#options.clock.monotonic();
  }
}
