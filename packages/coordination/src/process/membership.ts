/**
 * Members of the fleet and the view of their states.
 *
 * @module
 */

/** A daemon in the fleet. */
export interface Member {
  /** Unique within the deployment. */
  readonly name: string;
  /** IP address. */
  readonly address: string;
  /** Port of its peer listener, TCP and UDP. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  /** Increases with each start of the member. */
  readonly incarnation: number;
}

/** The state of a member in the view. */
export type MemberState = "alive" | "suspect" | "leaving";

/** A member and its state. */
export interface MemberStatus {
  readonly member: Member;
  readonly state: MemberState;
}

/** A snapshot of the members, without those that were removed. */
export interface View {
  /**
   * Increases with each change at this process; not comparable between
   * processes.
   */
  readonly version: number;
  /** Sorted by name, this process included. */
  readonly members: readonly MemberStatus[];
}

/** Tracks members that join, leave and fail. */
export interface Membership {
  readonly self: Member;
  /** The current view. */
  view(): View;
  /**
   * Calls the listener after each change of the view.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (view: View) => void): () => void;
}
