/**
 * What this process says of itself.
 *
 * @module
 */
import type { MembershipEvent } from "./membership_event.ts";
import type { MemberRecord } from "./membership_record.ts";
import type { Member } from "./membership.ts";

/** What the record of this process needs of its book. */
export interface SelfRecordOptions {
  readonly self: Member;
  readonly onEvent: (event: MembershipEvent) => void;
  /** Told of each change, which the others have to hear of. */
  readonly onChange: (record: MemberRecord) => void;
}

/** The record that only this process changes. */
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

  /** This process, as it believes itself to be. */
  get record(): MemberRecord {
    return this.#record;
  }

  /** Another says something of this process: contradict what is wrong. */
  hear(heard: MemberRecord): void {
    const { member, health, refutations } = this.#record;
    const { incarnation } = heard.member;
    if (health === "removed") return;
    if (incarnation > member.incarnation) return this.#outdo(incarnation);
    if (incarnation < member.incarnation) return;
    if (heard.health === "alive" || heard.refutations < refutations) return;
    const { onEvent } = this.#options;
    onEvent({ type: "refuted", health: heard.health, by: heard.by });
    this.#set({ refutations: heard.refutations + 1 });
  }

  /** Says anew that this process is alive, before it is asked. */
  affirm(): void {
    this.#set({ refutations: this.#record.refutations + 1 });
  }

  /** Marks this process as leaving. */
  leave(): void {
    if (!this.#record.leaving) this.#set({ leaving: true });
  }

  /** Marks this process as gone. */
  depart(): void {
    this.#set({ health: "removed" });
  }

  /**
   * A clock that went back made this start look older than the one before it;
   * without a higher number all that it says would be ignored.
   */
  #outdo(known: number): void {
    const incarnation = known + 1;
    this.#options.onEvent({ type: "outdated", incarnation });
    const member = { ...this.#record.member, incarnation };
    this.#set({ member, refutations: 0 });
  }

  #set(change: Partial<MemberRecord>): void {
    this.#record = { ...this.#record, ...change };
    this.#options.onChange(this.#record);
  }
}
