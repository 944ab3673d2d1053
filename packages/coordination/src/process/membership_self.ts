/**
 * The record of this process.
 *
 * @module
 */
import type { MembershipEvent } from "./membership_event.ts";
import type { MemberRecord } from "./membership_record.ts";
import type { Member } from "./membership.ts";

/** Initial state and callbacks of a {@linkcode SelfRecord}. */
export interface SelfRecordOptions {
  readonly self: Member;
  readonly onEvent: (event: MembershipEvent) => void;
  /** Called for each change, which has to be gossiped. */
  readonly onChange: (record: MemberRecord) => void;
}

/** The record of this process, which only this process changes. */
export class SelfRecord {
  readonly #options: SelfRecordOptions;
  #record: MemberRecord;

  constructor(options: SelfRecordOptions) {
    this.#options = options;
    this.#record = {
      member: options.self,
      refutations: 0,
      health: "alive",
      leaving: false,
      by: options.self.name,
    };
  }

  /** The current record. */
  get record(): MemberRecord {
    return this.#record;
  }

  /** Handles a report about this process, and refutes it if it is wrong. */
  refute(report: MemberRecord): void {
    const { member, health, refutations } = this.#record;
    const { incarnation } = report.member;
    if (health === "removed") return;
    if (incarnation > member.incarnation) return this.#raiseAbove(incarnation);
    if (incarnation < member.incarnation) return;
    if (report.health === "alive" || report.refutations < refutations) return;
    const { onEvent } = this.#options;
    onEvent({ type: "refuted", health: report.health, by: report.by });
    this.#update({ refutations: report.refutations + 1 });
  }

  /** Asserts that this process is alive, ahead of any suspicion of it. */
  reaffirm(): void {
    this.#update({ refutations: this.#record.refutations + 1 });
  }

  /** Marks this process as leaving. */
  markLeaving(): void {
    if (!this.#record.leaving) this.#update({ leaving: true });
  }

  /** Marks this process as removed. */
  markLeft(): void {
    this.#update({ health: "removed" });
  }

  /**
   * Raises the incarnation above one that others know. A clock that went back
   * gave this start a lower incarnation than the previous one, so that other
   * members would ignore all records of this process.
   */
  #raiseAbove(known: number): void {
    const incarnation = known + 1;
    this.#options.onEvent({ type: "outdated", incarnation });
    const member = { ...this.#record.member, incarnation };
    this.#update({ member, refutations: 0 });
  }

  #update(change: Partial<MemberRecord>): void {
    this.#record = { ...this.#record, ...change };
    this.#options.onChange(this.#record);
  }
}
