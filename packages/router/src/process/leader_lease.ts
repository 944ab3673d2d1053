/**
 * Leader election by a lease in the platform's store.
 *
 * @module
 */
import { timestampOf } from "@umbermast/coordination/clock";
import type { Clock, Timestamp } from "@umbermast/coordination/clock";
import {
  fencingAfter,
  LeaseObserver,
  leaseRemainingMs,
} from "@umbermast/coordination/lease_rules";
import type { EventLog } from "./event_log.ts";
import { FeedError } from "./feed.ts";
import { INITIAL_STATE } from "./leader_record.ts";
import { KnownEpoch } from "./known_epoch.ts";
import { boundedState } from "./leader_state_bounds.ts";
import { epochOf } from "./store_revision.ts";
import type {
  LeaderRecord,
  LeaderState,
  LeaderStore,
  RecordWriteResult,
  StoredRecord,
} from "./leader_record.ts";

/**
 * Time in ms after the end of a lease in which calls of the earlier leader may
 * still arrive.
 */
const SETTLE_MS = 200;

/**
 * A revision of the lease, as read from the store. Daemons send it to each other so
 * that most of them need not read the store.
 */
export interface LeaseObservation {
  readonly revision: number;
  /** Incarnation of the holder; empty if the lease was released. */
  readonly holderId: string;
  /** Monotonic ms at which the store held the revision. */
  readonly at: number;
}

/** One incarnation of a daemon. */
export interface LeaderIdentity {
  readonly name: string;
  readonly incarnation: string;
}

/** Options of a {@linkcode LeaderLease}. */
export interface LeaderLeaseOptions {
  readonly store: LeaderStore;
  readonly own: LeaderIdentity;
  /** Time in ms after which an unrenewed lease can be taken by another daemon. */
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** A term of leadership. */
interface Term {
  /** Fencing token. */
  readonly fencing: number;
  /** Monotonic ms at which the term started. */
  readonly since: number;
  /**
   * If the term began with a state from before the store's last restore: monotonic
   * ms at which the restore was noticed.
   */
  readonly restoredAt: number | undefined;
  /** When the last write that is known to have succeeded was sent. */
  renewedAt: Timestamp;
  revision: number;
  state: LeaderState;
  /** States of writes to replace `revision` whose results are unknown. */
  possibleStates: LeaderState[];
  /**
   * After a restore, until a write has succeeded: number of the last write that the
   * restored record, which may hold an older state, can be from.
   */
  lastLostAttempt: number | undefined;
}

/** A write whose response was lost. */
interface UnconfirmedWrite {
  readonly attempt: number;
  readonly sentAt: Timestamp;
}

/**
 * Acquires, renews and releases the leader's lease, and stores the leader's state
 * with it. Both are one object, so that a decision is stored exactly if its leader
 * held the lease at the time of the write. Another daemon takes the lease when its
 * object has been unchanged for the whole lease duration, or after its release.
 * After a restore of the store, which may have lost the lease, it takes none for
 * the whole duration, and a leader goes on and writes its state again.
 *
 * A leader may call the platform while {@linkcode mayAct} returns true. If another
 * daemon led before, the new leader first waits until a whole lease duration has
 * passed since its own last action and since the start of its process, as an
 * earlier process may have acted before a restart. The platform must never see
 * calls of two daemons alternate within a lease duration.
 */
export class LeaderLease {
  readonly #store: LeaderStore;
  readonly #own: LeaderIdentity;
  readonly #leaseMs: number;
  readonly #clock: Clock;
  readonly #log: EventLog;
  readonly #observer: LeaseObserver;
  readonly #startedAt: Timestamp;
  readonly #epoch: KnownEpoch;
  #holderId = "";
  #ownWrite = false;
  #actedAt: Timestamp;
  #attempts = 0;
  #term: Term | undefined;
  #unconfirmed: UnconfirmedWrite | undefined;
  /** Monotonic ms from which this leader may call the platform. */
  #actsFrom = Infinity;

  constructor(options: LeaderLeaseOptions) {
    const { store, own, leaseMs, clock, log } = options;
    this.#store = store;
    this.#own = own;
    this.#leaseMs = leaseMs;
    this.#clock = clock;
    this.#log = log;
    this.#observer = new LeaseObserver(own.incarnation);
    this.#epoch = new KnownEpoch(() => clock.monotonic());
    this.#startedAt = timestampOf(clock);
    this.#actedAt = this.#startedAt;
  }

  /** Fencing token of the current term; undefined while another daemon may lead. */
  get fencing(): number | undefined {
    return this.#remainingMs() > 0 ? this.#term!.fencing : undefined;
  }

  /** Whether this daemon holds the lease. */
  get held(): boolean {
    return this.fencing !== undefined;
  }

  /** State of the leader, as the store holds it. */
  get state(): LeaderState {
    return this.#term?.state ?? INITIAL_STATE;
  }

  /**
   * States that the store may hold, now or later, instead of {@linkcode state}: the
   * responses to their writes were lost, and a write may take effect late.
   */
  get possibleStates(): readonly LeaderState[] {
    return this.#term?.possibleStates ?? [];
  }

  /**
   * Monotonic ms at which a restore of the store was noticed that may have lost
   * decisions of an earlier leader; undefined if this term's state has them all.
   */
  get restoredAt(): number | undefined {
    return this.#term?.restoredAt;
  }

  /** Milliseconds since the last renewal of the lease. */
  get sinceRenewalMs(): number {
    const renewedAt = this.#term?.renewedAt.monotonic ?? -Infinity;
    return this.#clock.monotonic() - renewedAt;
  }

  /** The latest observation; undefined before the first one. */
  get observation(): LeaseObservation | undefined {
    const { version: revision, unchangedSince: at } = this.#observer;
    if (revision === 0) return undefined;
    return { revision, holderId: this.#holderId, at };
  }

  /** Whether this daemon wrote the revision that was observed last. */
  get isOwnWrite(): boolean {
    return this.#ownWrite;
  }

  /** Milliseconds for which the revision that was observed last is unchanged. */
  get unchangedMs(): number {
    return this.#clock.monotonic() - this.#observer.unchangedSince;
  }

  /** Whether the lease was released, according to the latest observation. */
  get isReleased(): boolean {
    return this.#observer.version > 0 && this.#holderId === "";
  }

  /**
   * Whether this daemon takes no lease yet, because it has learned of the store's
   * epoch too recently.
   */
  get awaitsExpiry(): boolean {
    return this.#epoch.epoch >= 0 && !this.#epochOutlastsLeases();
  }

  /** Records an observation of a neighbour; older revisions are ignored. */
  observe({ revision, holderId, at }: LeaseObservation): void {
    this.#epoch.observe(revision);
    if (revision <= this.#observer.version) return;
    this.#observer.observe(revision, at);
    this.#holderId = holderId;
    this.#ownWrite = false;
  }

  /** Whether a call of the platform that takes up to `callMs` may start now. */
  mayAct(callMs: number): boolean {
    return this.#clock.monotonic() >= this.#actsFrom &&
      this.#remainingMs() > callMs;
  }

  /** Records that the leader has called the platform just now. */
  recordAction(): void {
    this.#actedAt = timestampOf(this.#clock);
  }

  /**
   * Reads the lease from the store, and takes it if it is free.
   *
   * @param options with `observeOnly`, it is not taken.
   * @returns whether the store has answered that the lease is free.
   */
  async tryTake(
    options: { readonly observeOnly?: boolean } = {},
  ): Promise<boolean> {
    const found = await this.#tryStore(() => this.#store.read());
    if (found === "unknown") return false;
    this.#epoch.observe(found.revision);
    const { revision: version, record } = found;
    const observed = record && { version, holding: record.holding };
    const free = this.#observer.isFree(observed, this.#clock.monotonic());
    this.#holderId = record?.holding.holderId ?? "";
    this.#ownWrite = false;
    const takeable = free && this.#epochOutlastsLeases();
    if (takeable && !options.observeOnly) await this.#take(found);
    return takeable;
  }

  /**
   * Whether all leases that were renewed before the store's last restore have
   * expired. The restored store may not know them, so that a lease that is held
   * looks free there.
   */
  #epochOutlastsLeases(): boolean {
    return this.#epoch.ageMs >= this.#leaseMs;
  }

  /**
   * Writes the state, and renews the lease with it.
   *
   * @returns whether the store is known to hold the state.
   */
  async update(state: LeaderState): Promise<boolean> {
    if (this.#unconfirmed !== undefined && !await this.#resolve()) return false;
    const term = this.#term;
    if (term === undefined || this.#remainingMs() <= 0) return false;
    const sentAt = timestampOf(this.#clock);
    const record = this.#record(term.fencing, state);
    const result = await this.#write(record, term.revision, sentAt);
    if (result === "unknown") return false;
    if (result.kind === "written") {
      this.#confirm(term, { revision: result.revision, sentAt, state });
      return true;
    }
    this.#reconcile(result.found);
    return false;
  }

  /**
   * Releases the lease, so that another daemon can take it before it expires. No
   * call may be in progress, as the next leader may make its first call at once.
   */
  async release(): Promise<void> {
    const term = this.#term;
    if (term === undefined) return;
    // From here on this daemon must not act, whether or not the write arrives.
    this.#end("released");
    const record = this.#record(term.fencing, term.state);
    const free = { ...record.holding, holder: "", holderId: "" };
    const result = await this.#tryStore(() =>
      this.#store.write({ ...record, holding: free }, term.revision)
    );
    if (result === "unknown" || result.kind === "conflict") return;
    this.#recordOwnWrite(result.revision, this.#clock.monotonic());
    this.#holderId = "";
  }

  async #take(found: StoredRecord): Promise<void> {
    const { revision: ifRevision, record: before } = found;
    const fencing = fencingAfter(ifRevision);
    const state = boundedState(before?.work ?? INITIAL_STATE);
    const sentAt = timestampOf(this.#clock);
    const written = this.#record(fencing, state);
    // A successor of this term, too, has to know that the state is from before the
    // restore, until this term has written one without the lost decisions.
    const epoch = before?.epoch ?? written.epoch;
    const record = { ...written, epoch };
    const result = await this.#write(record, ifRevision, sentAt);
    // If the response was lost, the next read shows whether the write succeeded,
    // as the record then holds this incarnation.
    this.#unconfirmed = undefined;
    if (result === "unknown" || result.kind === "conflict") return;
    const { revision } = result;
    // Before the restore another daemon may have taken the lease with this token.
    if (epochOf(revision) !== epochOf(ifRevision)) return;
    const since = this.#clock.monotonic();
    const isOld = before !== undefined && before.epoch < epochOf(ifRevision);
    const restoredAt = isOld ? this.#epoch.since : undefined;
    const renewedAt = sentAt;
    this.#term = {
      fencing,
      since,
      restoredAt,
      renewedAt,
      revision,
      state,
      possibleStates: [],
      lastLostAttempt: undefined,
    };
    this.#recordOwnWrite(revision, since);
    const holder = before?.holding.holder ?? "";
    this.#actsFrom = this.#firstActionAt(before);
    this.#log.event("leader_term_began", {
      fencing,
      revision,
      before: holder === "" ? undefined : holder,
      acts_in_ms: Math.max(0, Math.round(this.#actsFrom - since)),
    });
  }

  /**
   * Returns the monotonic ms from which actions of this daemon cannot fall between
   * actions of other leaders.
   */
  #firstActionAt(before: LeaderRecord | undefined): number {
    const now = this.#clock.monotonic();
    const own = before?.holding.holderId === this.#own.incarnation;
    if (own && Number.isFinite(this.#actsFrom)) return this.#actsFrom;
    const since = Math.max(
      this.#actedAt.monotonic,
      this.#startedAt.monotonic,
    );
    return Math.max(now, since + this.#leaseMs) + SETTLE_MS;
  }

  #record(fencing: number, state: LeaderState): LeaderRecord {
    this.#attempts += 1;
    return {
      epoch: this.#epoch.epoch,
      holding: {
        holder: this.#own.name,
        holderId: this.#own.incarnation,
        fencing,
        attempt: this.#attempts,
        durationMs: this.#leaseMs,
      },
      work: state,
    };
  }

  async #write(
    record: LeaderRecord,
    ifRevision: number,
    sentAt: Timestamp,
  ): Promise<RecordWriteResult | "unknown"> {
    const result = await this.#tryStore(() =>
      this.#store.write(record, ifRevision)
    );
    if (result === "unknown") {
      const { attempt } = record.holding;
      this.#unconfirmed = { attempt, sentAt };
      this.#term?.possibleStates.push(record.work);
    }
    return result;
  }

  /**
   * Reads the store to find out whether an unconfirmed write has succeeded.
   *
   * @returns whether the store has responded.
   */
  async #resolve(): Promise<boolean> {
    const found = await this.#tryStore(() => this.#store.read());
    if (found === "unknown") return false;
    this.#reconcile(found);
    return true;
  }

  /** Adopts the stored record after a conflict or a lost response. */
  #reconcile(found: StoredRecord): void {
    const pending = this.#unconfirmed;
    this.#unconfirmed = undefined;
    const term = this.#term;
    if (term === undefined) return;
    const { revision, record } = found;
    this.#epoch.observe(revision);
    const holding = record?.holding;
    const own = holding?.holderId === this.#own.incarnation &&
      holding.fencing === term.fencing;
    const restored = epochOf(revision) > epochOf(term.revision);
    if (restored) term.lastLostAttempt = this.#attempts;
    const { lastLostAttempt = -1 } = term;
    const current = own && (holding.attempt > lastLostAttempt ||
      holding.attempt === pending?.attempt);
    const lost = term.lastLostAttempt !== undefined && !current;
    if (lost && (holding?.fencing ?? 0) <= term.fencing) {
      // The store has lost the latest state. It is still this daemon's to write, as
      // others take no lease before all from before the restore have expired.
      term.revision = revision;
      return;
    }
    if (!current) return this.#end("taken by another one");
    // Writes to replace an earlier revision have no effect any more.
    if (revision !== term.revision) term.possibleStates = [];
    term.revision = revision;
    term.lastLostAttempt = undefined;
    term.state = boundedState(record!.work);
    this.#recordOwnWrite(found.revision, this.#clock.monotonic());
    // Other daemons measure the lease from the stored write. Measuring it from a
    // later attempt would let this leader act while another one takes over.
    if (pending?.attempt === holding.attempt) term.renewedAt = pending.sentAt;
  }

  #confirm(term: Term, write: {
    readonly revision: number;
    readonly sentAt: Timestamp;
    readonly state: LeaderState;
  }): void {
    this.#epoch.observe(write.revision);
    term.revision = write.revision;
    term.possibleStates = [];
    term.lastLostAttempt = undefined;
    term.renewedAt = write.sentAt;
    term.state = write.state;
    this.#recordOwnWrite(write.revision, this.#clock.monotonic());
  }

  #recordOwnWrite(revision: number, at: number): void {
    this.#observer.observe(revision, at);
    this.#holderId = this.#own.incarnation;
    this.#ownWrite = true;
  }

  #end(reason: string): void {
    const { fencing, since } = this.#term!;
    this.#term = undefined;
    this.#unconfirmed = undefined;
    const heldMs = Math.round(this.#clock.monotonic() - since);
    this.#log.event("leader_term_ended", { fencing, reason, held_ms: heldMs });
  }

  /**
   * Returns the remaining time of the lease, and ends the term if it has expired,
   * for example after the process was suspended.
   */
  #remainingMs(): number {
    if (this.#term === undefined) return 0;
    const { renewedAt } = this.#term;
    const left = leaseRemainingMs(this.#leaseMs, renewedAt, this.#clock);
    if (left <= 0) this.#end("not renewed in time");
    return left;
  }

  /** Returns the result of a call to the store, or "unknown" without a response. */
  async #tryStore<T>(call: () => Promise<T>): Promise<T | "unknown"> {
    try {
      return await call();
    } catch (error) {
      if (!(error instanceof FeedError)) throw error;
      return "unknown";
    }
  }
}
