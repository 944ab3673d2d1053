/**
 * Orders to an engine: models to load and unload, and its role.
 *
 * @module
 */

/** An order as `POST /orders` takes it. */
export interface Order {
  readonly order: "load" | "unload" | "role";
  readonly model?: string;
  readonly adapter?: string;
  readonly version?: string;
  readonly role?: string;
  /** Number of the lease under which the order was given. */
  readonly fencing: number;
}

/** An order as recorded by `GET /orders-ledger`. */
export interface OrderEntry extends Order {
  /** Epoch milliseconds. */
  readonly at: number;
  readonly accepted: boolean;
}

/** Models and role of an engine, changed by orders. */
export class Orders {
  readonly #models: Set<string>;
  readonly #checksFencing: boolean;
  readonly #loadMs: number;
  readonly #entries: OrderEntry[] = [];
  #fencing = 0;
  #role: string;

  constructor(options: {
    readonly models: readonly string[];
    readonly role: string;
    /** Whether an order with an old fencing number is refused. */
    readonly checksFencing: boolean;
    /** How long it takes to load a model. */
    readonly loadMs: number;
  }) {
    this.#models = new Set(options.models);
    this.#role = options.role;
    this.#checksFencing = options.checksFencing;
    this.#loadMs = options.loadMs;
  }

  get models(): readonly string[] {
    return [...this.#models];
  }

  get role(): string {
    return this.#role;
  }

  /** Highest fencing number seen. */
  get fencing(): number {
    return this.#fencing;
  }

  get entries(): readonly OrderEntry[] {
    return this.#entries;
  }

  /** Takes an order; false when its fencing number is refused. */
  take(order: Order): boolean {
    const accepted = !this.#checksFencing || order.fencing >= this.#fencing;
    this.#entries.push({ ...order, at: Date.now(), accepted });
    if (!accepted) return false;
    this.#fencing = Math.max(this.#fencing, order.fencing);
    this.#apply(order);
    return true;
  }

  #apply(order: Order): void {
    if (order.order === "role") {
      this.#role = order.role ?? this.#role;
      return;
    }
    const name = order.adapter ?? order.model;
    if (name === undefined) return;
    if (order.order === "unload") {
      this.#models.delete(name);
      return;
    }
    setTimeout(() => this.#models.add(name), this.#loadMs).unref();
  }
}

const ORDER_NAMES = ["load", "unload", "role"];

/** Reads the body of `POST /orders`; a text when it is not an order. */
export function readOrder(value: unknown): Order | string {
  if (typeof value !== "object" || value === null) {
    return "/: expected an object";
  }
  const given = value as Record<string, unknown>;
  if (!ORDER_NAMES.includes(given.order as string)) {
    return `/order: expected one of ${ORDER_NAMES.join(", ")}`;
  }
  if (!Number.isInteger(given.fencing)) return "/fencing: expected an integer";
  return value as Order;
}
