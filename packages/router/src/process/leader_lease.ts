/**
 * Which daemon leads, by a lease in the platform's store.
 *
 * @module
 */
import { momentOf } from "@umbermast/coordination/clock";
import type { Clock, Moment } from "@umbermast/coordination/clock";
import {
  fencingAfter,
  leaseRemainingMs,
  LeaseSight,
} from "@umbermast/coordination/lease_rules";
import type { EventLog } from "./event_log.ts";
import { FeedError } from "./feed.ts";
import { INITIAL_STATE } from "./leader_record.ts";
import type {
  LeaderRecord,
  LeaderState,
  LeaderStore,
  RecordWriteResult,
  StoredRecord,
} from "./leader_record.ts";

/** Milliseconds beyond the lease for which calls of an earlier leader may arrive. */
const SETTLE_MS = 200;

/** What other daemons are told of the lease, so that they need not read it. */
export interface LeaseObservation {
  readonly revision: number;
  readonly holderId: string;
  /** Steady ms at which the revision was there. */
  readonly at: number;
}

/** One life of a daemon. */
export interface LeaderIdentity {
  readonly name: string;
  readonly incarnation: string;
}

/** What a {@linkcode LeaderLease} needs. */
export interface LeaderLeaseOptions {
  readonly store: LeaderStore;
  readonly own: LeaderIdentity;
  /** How long a silent leader keeps the lease, in ms. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** A time of leading. */
interface Term {
  readonly fencing: number;
  readonly since: number;
  /** When the last write that is known to stand was sent. */
  renewedAt: Moment;
  revision: number;
  work: LeaderState;
}

/** A write whose answer was lost. */
interface UnsureWrite {
  readonly attempt: number;
  readonly sentAt: Moment;
}

/**
 * Holds the lease of the leader, and with it what the leader has decided: both
 * are one object, so that a decision stands exactly if its leader held the lease
 * when it was written. Another daemon takes the lease when its object has stood
 * for the whole duration, or the holder gave it up.
 *
 * A leader acts while {@linkcode mayAct} says so. After another one has led, it
 * first lets a whole duration pass since its own last act, and since its start,
 * as a start may have forgotten one: the platform must never see two daemons
 * act in turns within that time.
 */
export class LeaderLease {
  readonly #store: LeaderStore;
  readonly #own: LeaderIdentity;
  readonly #leaseMs: number;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #sight: LeaseSight;
  readonly #startedAt: Moment;
  #holderId = "";
  #writtenHere = false;
  #actedAt: Moment;
  #attempts = 0;
  #term: Term | undefined;
  #unsure: UnsureWrite | undefined;
  /** Steady ms from which this leader may act. */
  #actsFrom = Infinity;

  constructor(options: LeaderLeaseOptions) {
    const { store, own, leaseMs, clock, log } = options;
    this.#store = store;
    this.#own = own;
    this.#leaseMs = leaseMs;
    this.#clock = clock;
    this.#log = log;
    this.#sight = new LeaseSight(own.incarnation);
    this.#startedAt = momentOf(clock);
    this.#actedAt = this.#startedAt;
  }

  /** Number of the present term; none while another daemon may lead. */
  get fencing(): number | undefined {
    return this.#remainingMs() > 0 ? this.#term!.fencing : undefined;
  }

  /** Whether this daemon leads. */
  get held(): boolean {
    return this.fencing !== undefined;
  }

  /** What was decided, as it stands in the store. */
  get state(): LeaderState {
    return this.#term?.work ?? INITIAL_STATE;
  }

  /** Milliseconds since the lease was renewed last. */
  get sinceRenewalMs(): number {
    const renewedAt = this.#term?.renewedAt.monotonic ?? -Infinity;
    return this.#clock.monotonic() - renewedAt;
  }

  /** What others may be told; none before anything was seen. */
  get observation(): LeaseObservation | undefined {
    const { version: revision, since: at } = this.#sight;
    if (revision === 0) return undefined;
    return { revision, holderId: this.#holderId, at };
  }

  /** Whether what was seen last was written by this daemon. */
  get isOwnWrite(): boolean {
    return this.#writtenHere;
  }

  /** Milliseconds for which the revision that was seen last has stood. */
  get unchangedMs(): number {
    return this.#clock.monotonic() - this.#sight.since;
  }

  /** Whether the lease was given up, as far as seen. */
  get isReleased(): boolean {
    return this.#sight.version > 0 && this.#holderId === "";
  }

  /** Takes what a neighbour told. */
  observe({ revision, holderId, at }: LeaseObservation): void {
    if (revision <= this.#sight.version) return;
    this.#sight.see(revision, at);
    this.#holderId = holderId;
    this.#writtenHere = false;
  }

  /** Whether a call that takes up to `callMs` may begin now. */
  mayAct(callMs: number): boolean {
    return this.#clock.monotonic() >= this.#actsFrom &&
      this.#remainingMs() > callMs;
  }

  /** Notes that something was done under the lease just now. */
  recordAction(): void {
    this.#actedAt = momentOf(this.#clock);
  }

  /** Looks at the lease and takes it if it is free. */
  async tryTake(): Promise<void> {
    const found = await this.#asked(() => this.#store.read());
    if (found === "unknown") return;
    const seen = found && {
      version: found.revision,
      holding: found.record.holding,
    };
    const free = this.#sight.isFree(seen, this.#clock.monotonic());
    this.#holderId = found?.record.holding.holderId ?? "";
    this.#writtenHere = false;
    if (free) await this.#take(found);
  }

  /**
   * Writes what was decided, and renews the lease with it.
   *
   * @returns whether it stands in the store.
   */
  async update(work: LeaderState): Promise<boolean> {
    if (this.#unsure !== undefined && !await this.#resolve()) return false;
    const term = this.#term;
    if (term === undefined || this.#remainingMs() <= 0) return false;
    const sentAt = momentOf(this.#clock);
    const record = this.#record(term.fencing, work);
    const written = await this.#write(record, term.revision, sentAt);
    if (written === "unknown") return false;
    if (written.kind === "written") {
      this.#stands(term, { revision: written.revision, sentAt, work });
      return true;
    }
    this.#met(written.found);
    return false;
  }

  /**
   * Gives the lease up, so that another daemon need not wait for its end. No call
   * may be under way: the next leader makes its first one at once.
   */
  async release(): Promise<void> {
    const term = this.#term;
    if (term === undefined) return;
    // Nothing may be done under it from here on, whether the write arrives.
    this.#end("released");
    const { holding, work } = this.#record(term.fencing, term.work);
    const free = { ...holding, holder: "", holderId: "" };
    const record = { holding: free, work };
    const written = await this.#asked(() =>
      this.#store.write(record, term.revision)
    );
    if (written === "unknown" || written.kind === "conflict") return;
    this.#see(written.revision, this.#clock.monotonic());
    this.#holderId = "";
  }

  async #take(found: StoredRecord | undefined): Promise<void> {
    const ifRevision = found?.revision ?? 0;
    const fencing = fencingAfter(ifRevision);
    const work = found?.record.work ?? INITIAL_STATE;
    const sentAt = momentOf(this.#clock);
    const record = this.#record(fencing, work);
    const written = await this.#write(record, ifRevision, sentAt);
    // Whether a lost write stands shows at the next look: it is this life's own.
    this.#unsure = undefined;
    if (written === "unknown" || written.kind === "conflict") return;
    const { revision } = written;
    const since = this.#clock.monotonic();
    this.#term = { fencing, since, renewedAt: sentAt, revision, work };
    this.#see(revision, since);
    const before = found?.record.holding.holder ?? "";
    this.#actsFrom = this.#firstAct(found);
    this.#log.event("leader_term_began", {
      fencing,
      revision,
      before: before === "" ? undefined : before,
      acts_in_ms: Math.max(0, Math.round(this.#actsFrom - since)),
    });
  }

  /** Steady ms from which nothing done here comes between acts of others. */
  #firstAct(found: StoredRecord | undefined): number {
    const now = this.#clock.monotonic();
    const own = found?.record.holding.holderId === this.#own.incarnation;
    if (own && Number.isFinite(this.#actsFrom)) return this.#actsFrom;
    const since = Math.max(
      this.#actedAt.monotonic,
      this.#startedAt.monotonic,
    );
    return Math.max(now, since + this.#leaseMs) + SETTLE_MS;
  }

  #record(fencing: number, work: LeaderState): LeaderRecord {
    this.#attempts += 1;
    return {
      holding: {
        holder: this.#own.name,
        holderId: this.#own.incarnation,
        fencing,
        attempt: this.#attempts,
        durationMs: this.#leaseMs,
      },
      work,
    };
  }

  async #write(
    record: LeaderRecord,
    ifRevision: number,
    sentAt: Moment,
  ): Promise<RecordWriteResult | "unknown"> {
    const written = await this.#asked(() =>
      this.#store.write(record, ifRevision)
    );
    if (written === "unknown") {
      const { attempt } = record.holding;
      this.#unsure = { attempt, sentAt };
    }
    return written;
  }

  /** Learns what became of a write whose answer was lost; whether it is known. */
  async #resolve(): Promise<boolean> {
    const found = await this.#asked(() => this.#store.read());
    if (found === "unknown") return false;
    this.#met(found);
    return true;
  }

  /** Takes the object as it is after a conflict or a lost answer. */
  #met(found: StoredRecord | undefined): void {
    const unsure = this.#unsure;
    this.#unsure = undefined;
    const term = this.#term;
    if (term === undefined) return;
    const holding = found?.record.holding;
    const own = holding?.holderId === this.#own.incarnation &&
      holding.fencing === term.fencing;
    if (found === undefined || !own) return this.#end("taken by another one");
    term.revision = found.revision;
    term.work = found.record.work;
    this.#see(found.revision, this.#clock.monotonic());
    // Others count from the write that stands. Counting from a later attempt
    // would let this leader act while another one takes over.
    if (unsure?.attempt === holding.attempt) term.renewedAt = unsure.sentAt;
  }

  #stands(term: Term, written: {
    readonly revision: number;
    readonly sentAt: Moment;
    readonly work: LeaderState;
  }): void {
    term.revision = written.revision;
    term.renewedAt = written.sentAt;
    term.work = written.work;
    this.#see(written.revision, this.#clock.monotonic());
  }

  #see(revision: number, at: number): void {
    this.#sight.see(revision, at);
    this.#holderId = this.#own.incarnation;
    this.#writtenHere = true;
  }

  #end(reason: string): void {
    const { fencing, since } = this.#term!;
    this.#term = undefined;
    this.#unsure = undefined;
    const heldMs = Math.round(this.#clock.monotonic() - since);
    this.#log.event("leader_term_ended", { fencing, reason, held_ms: heldMs });
  }

  /** A term whose time is over ends here, also after a pause. */
  #remainingMs(): number {
    if (this.#term === undefined) return 0;
    const { renewedAt } = this.#term;
    const left = leaseRemainingMs(this.#leaseMs, renewedAt, this.#clock);
    if (left <= 0) this.#end("not renewed in time");
    return left;
  }

  /** What the store answers, unless it does not. */
  async #asked<T>(ask: () => Promise<T>): Promise<T | "unknown"> {
    try {
      return await ask();
    } catch (error) {
      if (!(error instanceof FeedError)) throw error;
      return "unknown";
    }
  }
}
