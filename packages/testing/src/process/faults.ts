/**
 * Faults that a stand-in shows on demand.
 *
 * @module
 */

/** Faults that `POST /control` knows. `none` ends all of them. */
export const FAULT_NAMES = [
  "down",
  "slow",
  "lose-reply",
  "silent",
  "crash-mid-answer",
  "straggle",
  "leaving",
  "frozen-hosts",
  "none",
] as const;

/** Name of a fault. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** A fault as ordered by `POST /control`. */
export interface Fault {
  readonly fault: FaultName;
  /** How long it lasts; absent until `none`. */
  readonly seconds?: number;
  /** Delay of each answer for `slow`, in milliseconds; 1,000 by default. */
  readonly delayMs?: number;
  /** Factor on the step time for `straggle`; 5 by default. */
  readonly factor?: number;
  /** Tokens before `crash-mid-answer` strikes; 5 by default. */
  readonly afterTokens?: number;
  /** Part of the platform that is hit; both by default. */
  readonly part?: "objects" | "hosts";
  /** How many answers it hits before it ends by itself; no bound by default. */
  readonly count?: number;
}

interface Active {
  readonly order: Fault;
  readonly until: number;
  left: number;
}

const MS_PER_SECOND = 1000;

/** The faults that a stand-in shows at present. Several may hold at once. */
export class Faults {
  readonly #active = new Map<FaultName, Active>();

  /** Starts a fault, in place of one of the same name; `none` ends all. */
  order(order: Fault): void {
    if (order.fault === "none") {
      this.#active.clear();
      return;
    }
    const until = order.seconds === undefined
      ? Infinity
      : Date.now() + order.seconds * MS_PER_SECOND;
    const left = order.count ?? Infinity;
    this.#active.set(order.fault, { order, until, left });
  }

  /** The order behind a fault, while it holds. */
  get(name: FaultName): Fault | undefined {
    const active = this.#active.get(name);
    if (active === undefined) return undefined;
    if (active.left > 0 && Date.now() < active.until) return active.order;
    this.#active.delete(name);
    return undefined;
  }

  /** As `get`, and counts one answer as hit. */
  strike(name: FaultName): Fault | undefined {
    const order = this.get(name);
    const active = this.#active.get(name);
    if (active !== undefined) active.left -= 1;
    return order;
  }
}

/** Reads an order of `POST /control`; a text when it is not one. */
export function readFault(value: unknown): Fault | string {
  if (typeof value !== "object" || value === null) {
    return "/: expected an object";
  }
  const name = (value as { fault?: unknown }).fault;
  if (!FAULT_NAMES.includes(name as FaultName)) {
    return `/fault: expected one of ${FAULT_NAMES.join(", ")}`;
  }
  for (const key of ["seconds", "delayMs", "factor", "afterTokens", "count"]) {
    const number = (value as Record<string, unknown>)[key];
    if (number === undefined) continue;
    if (typeof number === "number" && number >= 0) continue;
    return `/${key}: expected a number of at least 0`;
  }
  return value as Fault;
}
