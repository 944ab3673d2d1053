/**
 * Who takes part, and who of them is believed to be alive.
 *
 * @module
 */

/** A daemon that takes part. */
export interface Member {
  /** Unique over the deployment. */
  readonly name: string;
  /** IP address. */
  readonly address: string;
  /** Port of its peer listener, TCP and UDP. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  /** Grows with each start of the member. */
  readonly incarnation: number;
}

/** What is believed of a member. */
export type MemberState = "alive" | "suspect" | "leaving";

/** A member with what is believed of it. */
export interface MemberStatus {
  readonly member: Member;
  readonly state: MemberState;
}

/** The members believed to take part, at one moment. */
export interface View {
  /** Grows with each change at this process; not comparable between processes. */
  readonly version: number;
  /** In order of name; holds this process too. Removed members are absent. */
  readonly members: readonly MemberStatus[];
}

/** Tells of members that come, leave and fail. */
export interface Membership {
  readonly self: Member;
  /** The present view. */
  view(): View;
  /**
   * Calls the listener after each change of the view.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (view: View) => void): () => void;
}
