/**
 * What neighbours are still to be told.
 *
 * @module
 */
import type { ContactUpdates } from "../process/contact_book.ts";
import type { CompleteResponse, CrashedRun } from "../process/crash_entry.ts";
import type { CrashUpdate } from "../process/crash_record.ts";
import type { LimitUpdate } from "../process/runner_limits.ts";
import type { LeaseObservation } from "../process/leader_lease.ts";
import type { UsageCount } from "../process/usage_meter.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";

/**
 * Prompts told at once; of more the oldest are left out. An engine may then read
 * a prompt that another one holds, once.
 */
const MAX_PARTS = 2_000;
/**
 * Requests at runners that ended which one message tells: about 1 KB, with as
 * many answers that clear some. When hundreds of runners end at once, the others
 * wait for the next message.
 */
const MAX_CRASHES = 25;
/**
 * Those that wait; of more the oldest are left out. What ends its runners comes
 * again, and is told then.
 */
const MAX_CRASHES_WAITING = 1_000;

/** Limits of runners which one message tells, about 3 KB; others wait. */
const MAX_LIMITS = 100;

/** Who told something. */
export interface Sourced {
  /** Name of the neighbour that told it; none for what comes from here. */
  readonly from: string | undefined;
}

/** Requests at runners that ended, with the neighbours that told of them. */
export interface SourcedCrashes {
  readonly crashed: readonly (CrashedRun & Sourced)[];
  readonly answers: readonly (CompleteResponse & Sourced)[];
}

/** What goes out with the next messages. */
export interface OutgoingUpdate {
  /** Ids of runners whose loads have changed. */
  readonly runners: readonly string[];
  readonly parts: readonly (PrefixUpdate & Sourced)[];
  readonly contacts: ContactUpdates;
  readonly crashes: SourcedCrashes;
  readonly limits: readonly (LimitUpdate & Sourced)[];
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseObservation | undefined;
}

/** Collects what has changed until it is sent to one group of neighbours. */
export class Outbox {
  readonly #urgent = new Set<string>();
  readonly #calm = new Set<string>();
  #parts: (PrefixUpdate & Sourced)[] = [];
  #contacts: ContactUpdates[] = [];
  readonly #crashed: (CrashedRun & Sourced)[] = [];
  readonly #answers: (CompleteResponse & Sourced)[] = [];
  /** What each runner said last. */
  readonly #limits = new Map<string, LimitUpdate & Sourced>();
  /** By life and window, what was counted last for each workspace. */
  readonly #usage = new Map<string, UsageCount>();
  #lease: LeaseObservation | undefined;

  /** Notes changed loads; urgent ones, where requests wait, go first. */
  addRunners(runners: Iterable<string>, urgent: boolean): void {
    for (const runner of runners) {
      if (urgent) {
        this.#urgent.add(runner);
        this.#calm.delete(runner);
      } else if (!this.#urgent.has(runner)) {
        this.#calm.add(runner);
      }
    }
  }

  addParts(parts: readonly PrefixUpdate[], from?: string): void {
    for (const news of parts) this.#parts.push({ ...news, from });
    if (this.#parts.length > MAX_PARTS) {
      this.#parts = this.#parts.slice(-MAX_PARTS);
    }
  }

  addContacts(news: ContactUpdates): void {
    this.#contacts.push(news);
  }

  addCrashes({ crashed, answers }: CrashUpdate, from?: string): void {
    wait(this.#crashed, crashed, from);
    wait(this.#answers, answers, from);
  }

  addLimits(limits: readonly LimitUpdate[], from?: string): void {
    for (const news of limits) this.#limits.set(news.runner, { ...news, from });
  }

  /** Notes counts; they go with the next message that there is in any case. */
  addUsage(usage: readonly UsageCount[]): void {
    for (const each of usage) {
      const key = `${each.life} ${each.window}`;
      const counts = new Map(this.#usage.get(key)?.counts);
      for (const [workspace, requests] of each.counts) {
        counts.set(workspace, requests);
      }
      this.#usage.set(key, { ...each, counts: [...counts] });
    }
  }

  /** Notes a renewal, which has time; that nobody leads goes out by itself. */
  addLease(lease: LeaseObservation): void {
    this.#lease = lease;
  }

  get empty(): boolean {
    return this.#urgent.size === 0 && this.#calm.size === 0 &&
      this.#parts.length === 0 && this.#contacts.length === 0 &&
      this.#crashed.length === 0 && this.#answers.length === 0 &&
      this.#limits.size === 0 && this.#lease?.holderId !== "";
  }

  /** Whether others should know soon. */
  get urgent(): boolean {
    return this.#urgent.size > 0;
  }

  /**
   * Takes what is to be sent now. Loads beyond `mostRunners` stay for the next
   * time, those first that have waited longest.
   */
  take(mostRunners: number): OutgoingUpdate {
    const urgent = takeFrom(this.#urgent, mostRunners);
    const calm = takeFrom(this.#calm, mostRunners - urgent.length);
    const post = {
      runners: [...urgent, ...calm],
      parts: this.#parts,
      contacts: {
        contacts: this.#contacts.flatMap(({ contacts }) => contacts),
        gone: this.#contacts.flatMap(({ gone }) => gone),
      },
      crashes: {
        crashed: this.#crashed.splice(0, MAX_CRASHES),
        answers: this.#answers.splice(0, MAX_CRASHES),
      },
      limits: [...this.#limits.values()].slice(0, MAX_LIMITS),
      usage: [...this.#usage.values()],
      lease: this.#lease,
    };
    this.#usage.clear();
    this.#lease = undefined;
    for (const { runner } of post.limits) this.#limits.delete(runner);
    this.#parts = [];
    this.#contacts = [];
    return post;
  }
}

/** Adds crashes to those that wait, as far as there is room. */
function wait<Item>(
  waiting: (Item & Sourced)[],
  items: readonly Item[],
  from: string | undefined,
): void {
  for (const item of items) waiting.push({ ...item, from });
  const over = waiting.length - MAX_CRASHES_WAITING;
  if (over > 0) waiting.splice(0, over);
}

/** Takes the first of a set out of it. */
function takeFrom(set: Set<string>, most: number): readonly string[] {
  const taken = [];
  for (const each of set) {
    if (taken.length >= most) break;
    taken.push(each);
    set.delete(each);
  }
  return taken;
}
