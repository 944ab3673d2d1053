/**
 * What a daemon's cost grows with, and how much of it there is.
 *
 * @module
 */
import { PLAN } from "./capacity_plan.ts";
import type { Role } from "./slopes_result.ts";

/** How much of a load there is, and on how many daemons. */
export interface Amounts {
  /** Daemons that have any of it. */
  readonly bearers: number;
  /** On each of them. */
  readonly amount: number;
  /** On the one that has most. */
  readonly most: number;
  /** How these were worked out. */
  readonly working: string;
}

/** Something that a daemon's cost grows with. */
export interface Load {
  readonly role: Role;
  /** What it is, for readers. */
  readonly title: string;
  /** By what the code does now. */
  readonly today: Amounts;
  /** Once the change is made that the page names; absent when none is needed. */
  readonly later?: Amounts & { readonly change: string };
  /** False for the bytes of answers, which are not control. */
  readonly control: boolean;
  /**
   * `rate`: so much a second, or at any time, with all that it costs; `held`:
   * only its state is its own; `idle`: what the process spends without the role.
   */
  readonly kind: "rate" | "held" | "idle";
}

/** A role with the mechanism that carries it. */
export interface Carrier {
  readonly name: string;
  readonly mechanism: string;
  /** Paths in the repository. */
  readonly modules: readonly string[];
  readonly loads: readonly Load[];
}

/** A load that is control. */
export function control(
  role: Role,
  title: string,
  amounts: Pick<Load, "today" | "later">,
): Load {
  return { role, title, control: true, kind: "rate", ...amounts };
}

/** The same amount on every daemon. */
export function everywhere(amount: number, working: string): Amounts {
  return { bearers: PLAN.daemons, amount, most: amount, working };
}

/** A total divided among some daemons. */
export function spread(
  bearers: number,
  options: { readonly total: number; readonly working: string },
): Amounts {
  const amount = options.total / bearers;
  return { bearers, amount, most: amount, working: options.working };
}
