/**
 * An object store in memory, with faults on demand.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type {
  Conflict,
  ObjectKey,
  ObjectWrite,
  Store,
  StoreChanges,
  StoredObject,
  StoreEvent,
  StoreListing,
  Unavailable,
  WatchRange,
  WriteCondition,
} from "../process/store.ts";

/** A call about to be made. */
export interface StoreCall {
  readonly operation: "read" | "write" | "remove" | "list" | "watch";
  readonly kind: string;
  /** Absent for lists and watches. */
  readonly name?: string;
  /** The value of a write. */
  readonly value?: unknown;
}

/**
 * What happens to a call. `lose-reply`: it takes effect and its reply is lost.
 * `refuse`: the store refuses it, nothing is written. `lose-request`: nothing is
 * written and the caller can't know that.
 */
export type StoreFault = "none" | "lose-reply" | "refuse" | "lose-request";

/** Decides the fate of each call; an effect may wait, to make a call slow. */
export type FaultPlan = (
  call: StoreCall,
) => StoreFault | Effect.Effect<StoreFault>;

interface Event extends StoreEvent {
  readonly kind: string;
}

/** {@linkcode Store} for tests. Shared by all that are given the same object. */
export class MemoryStore implements Store {
  readonly #objects = new Map<string, StoredObject>();
  readonly #events: Event[] = [];
  readonly #waiting = new Set<() => void>();
  #revision = 0;
  /** Calls made so far, refused ones included. */
  readonly calls: StoreCall[] = [];
  /** Asked before each call; none fail by default. */
  plan: FaultPlan = () => "none";

  /** A view of the same objects with faults of its own. */
  withPlan(plan: FaultPlan): Store {
    return new FaultyStore(this, plan);
  }

  read(
    kind: string,
    name: string,
  ): Effect.Effect<StoredObject | undefined, Unavailable> {
    return this.faulty(
      { operation: "read", kind, name },
      this.plan,
      Effect.sync(() => this.#objects.get(keyOf(kind, name))),
    );
  }

  write(
    object: ObjectWrite,
    options: WriteCondition,
  ): Effect.Effect<number, Conflict | Unavailable> {
    return this.faulty(
      { operation: "write", ...object },
      this.plan,
      this.#conditional(object, options.ifVersion, () => {
        const version = this.#next();
        // Values cross a wire in truth; a copy keeps tests from sharing state.
        const value: unknown = JSON.parse(JSON.stringify(object.value));
        const { kind, name } = object;
        this.#objects.set(keyOf(kind, name), { kind, name, version, value });
        this.#announce({ type: "put", kind, name, version, value });
        return version;
      }),
    );
  }

  remove(
    object: ObjectKey,
    options: WriteCondition,
  ): Effect.Effect<void, Conflict | Unavailable> {
    const { kind, name } = object;
    return this.faulty(
      { operation: "remove", kind, name },
      this.plan,
      this.#conditional(object, options.ifVersion, () => {
        this.#objects.delete(keyOf(kind, name));
        const version = this.#next();
        this.#announce({ type: "delete", kind, name, version });
      }),
    );
  }

  list(kind: string): Effect.Effect<StoreListing, Unavailable> {
    return this.faulty(
      { operation: "list", kind },
      this.plan,
      Effect.sync(() => ({
        revision: this.#revision,
        items: [...this.#objects.values()].filter((item) => item.kind === kind),
      })),
    );
  }

  watch(
    kind: string,
    options: WatchRange,
  ): Effect.Effect<StoreChanges, Unavailable> {
    return this.faulty(
      { operation: "watch", kind },
      this.plan,
      this.#changes(kind, options),
    );
  }

  /** @internal */
  faulty<A, E>(
    call: StoreCall,
    plan: FaultPlan,
    effect: Effect.Effect<A, E>,
  ): Effect.Effect<A, E | Unavailable> {
    const writes = call.operation === "write" || call.operation === "remove";
    return Effect.gen({ self: this }, function* () {
      this.calls.push(call);
      const planned = plan(call);
      const fault = Effect.isEffect(planned) ? yield* planned : planned;
      if (fault === "none") return yield* effect;
      if (fault === "lose-reply") yield* Effect.exit(effect);
      return yield* Effect.fail<Unavailable>({
        _tag: "Unavailable",
        reason: fault,
        mayHaveWritten: writes && fault !== "refuse",
      });
    });
  }

  #conditional<A>(
    object: ObjectKey,
    ifVersion: number,
    change: () => A,
  ): Effect.Effect<A, Conflict> {
    return Effect.suspend(() => {
      const present = this.#objects.get(keyOf(object.kind, object.name));
      const version = present?.version ?? 0;
      if (version !== ifVersion) {
        return Effect.fail<Conflict>({ _tag: "Conflict", version });
      }
      return Effect.sync(change);
    });
  }

  #changes(
    kind: string,
    options: WatchRange,
  ) {
    const later = () =>
      this.#events.filter((event) =>
        event.kind === kind && event.version > options.from
      );
    return Effect.callback<StoreChanges>((resume) => {
      const answer = () => {
        clearTimeout(timer);
        this.#waiting.delete(look);
        resume(Effect.succeed({ revision: this.#revision, events: later() }));
      };
      const look = () => {
        if (later().length > 0) answer();
      };
      const timer = setTimeout(answer, options.waitMs);
      this.#waiting.add(look);
      look();
      return Effect.sync(() => {
        clearTimeout(timer);
        this.#waiting.delete(look);
      });
    });
  }

  #next(): number {
    this.#revision += 1;
    return this.#revision;
  }

  #announce(event: Event): void {
    this.#events.push(event);
    for (const look of [...this.#waiting]) look();
  }
}

/** One caller's view of a shared store. */
class FaultyStore implements Store {
  readonly #store: MemoryStore;
  readonly #plan: FaultPlan;

  constructor(store: MemoryStore, plan: FaultPlan) {
    this.#store = store;
    this.#plan = plan;
  }

  read(kind: string, name: string) {
    const call = { operation: "read", kind, name } as const;
    return this.#store.faulty(call, this.#plan, this.#store.read(kind, name));
  }

  write(
    object: ObjectWrite,
    options: WriteCondition,
  ) {
    const call = { operation: "write", ...object } as const;
    const write = this.#store.write(object, options);
    return this.#store.faulty(call, this.#plan, write);
  }

  remove(
    object: ObjectKey,
    options: WriteCondition,
  ) {
    const call = { operation: "remove", ...object } as const;
    const remove = this.#store.remove(object, options);
    return this.#store.faulty(call, this.#plan, remove);
  }

  list(kind: string) {
    const call = { operation: "list", kind } as const;
    return this.#store.faulty(call, this.#plan, this.#store.list(kind));
  }

  watch(
    kind: string,
    options: WatchRange,
  ) {
    const call = { operation: "watch", kind } as const;
    const watch = this.#store.watch(kind, options);
    return this.#store.faulty(call, this.#plan, watch);
  }
}

function keyOf(kind: string, name: string): string {
  return `${kind}\n${name}`;
}
