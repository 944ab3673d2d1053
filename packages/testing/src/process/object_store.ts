/**
 * Objects with versions, conditional writes and watches, in memory.
 *
 * @module
 */

/** An object as stored. */
export interface ObjectItem {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}

/** A change of an object. */
export interface ObjectEvent {
  readonly type: "put" | "delete";
  readonly name: string;
  readonly version: number;
  readonly value?: unknown;
}

/** Result of a write: the new version, or the one that stood in its way. */
export type WriteResult =
  | { readonly written: true; readonly version: number }
  | { readonly written: false; readonly version: number };

interface Kind {
  readonly items: Map<string, ObjectItem>;
  readonly waiters: Set<() => void>;
  events: ObjectEvent[];
  /** Revision before the oldest event kept. */
  floor: number;
}

/** Keeps objects by kind and name. One counter numbers all writes. */
export class ObjectStore {
  readonly #kinds = new Map<string, Kind>();
  readonly #keptEvents: number;
  #revision = 0;

  /** `keptEvents` of each kind can be watched from; older ones are gone. */
  constructor(keptEvents: number) {
    this.#keptEvents = keptEvents;
  }

  get revision(): number {
    return this.#revision;
  }

  read(kind: string, name: string): ObjectItem | undefined {
    return this.#kind(kind).items.get(name);
  }

  list(kind: string): readonly ObjectItem[] {
    return [...this.#kind(kind).items.values()];
  }

  /** Writes when `ifVersion` is undefined or the present version. */
  write(
    kind: string,
    item: { readonly name: string; readonly value: unknown },
    options: { readonly ifVersion?: number | undefined },
  ): WriteResult {
    const present = this.read(kind, item.name)?.version ?? 0;
    const { ifVersion } = options;
    if (ifVersion !== undefined && ifVersion !== present) {
      return { written: false, version: present };
    }
    const version = ++this.#revision;
    this.#kind(kind).items.set(item.name, { ...item, version });
    this.#publish(kind, { type: "put", ...item, version });
    return { written: true, version };
  }

  /** Removes on the same condition; `undefined` when there is no such object. */
  remove(
    kind: string,
    name: string,
    options: { readonly ifVersion?: number | undefined },
  ): WriteResult | undefined {
    const present = this.read(kind, name)?.version;
    if (present === undefined) return undefined;
    const { ifVersion } = options;
    if (ifVersion !== undefined && ifVersion !== present) {
      return { written: false, version: present };
    }
    const version = ++this.#revision;
    this.#kind(kind).items.delete(name);
    this.#publish(kind, { type: "delete", name, version });
    return { written: true, version };
  }

  /** Events later than `from`; `undefined` when they are no longer kept. */
  eventsAfter(kind: string, from: number): readonly ObjectEvent[] | undefined {
    const { events, floor } = this.#kind(kind);
    if (from < floor) return undefined;
    return events.filter(({ version }) => version > from);
  }

  /** Ends at the next change of the kind, or after `waitMs`. */
  changed(kind: string, waitMs: number): Promise<void> {
    const { waiters } = this.#kind(kind);
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      waiters.add(done);
    });
  }

  #kind(name: string): Kind {
    const found = this.#kinds.get(name);
    if (found !== undefined) return found;
    const kind = { items: new Map(), waiters: new Set<() => void>() };
    const made: Kind = { ...kind, events: [], floor: 0 };
    this.#kinds.set(name, made);
    return made;
  }

  #publish(kindName: string, event: ObjectEvent): void {
    const kind = this.#kind(kindName);
    kind.events.push(event);
    if (kind.events.length > this.#keptEvents) {
      kind.floor = kind.events.shift()?.version ?? kind.floor;
    }
    for (const wake of [...kind.waiters]) wake();
  }
}
