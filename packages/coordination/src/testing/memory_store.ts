/**
 * An in-memory object store with fault injection.
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
  WatchOptions,
  WriteCondition,
} from "../process/store.ts";

/** A call to the store. */
export interface StoreCall {
  readonly operation: "read" | "write" | "remove" | "list" | "watch";
  readonly kind: string;
  /** Absent for lists and watches. */
  readonly name?: string;
  /** The value of a write. */
  readonly value?: unknown;
}

/**
 * Fault injected into a call. `lose-reply`: the call takes effect, but its
 * reply is lost. `refuse`: the store refuses the call, and nothing is written.
 * `lose-request`: nothing is written, and the caller cannot know that.
 */
export type StoreFault = "none" | "lose-reply" | "refuse" | "lose-request";

/** Chooses the fault of each call; an effect may wait, to make a call slow. */
export type FaultPlan = (
  call: StoreCall,
) => StoreFault | Effect.Effect<StoreFault>;

interface Event extends StoreEvent {
  readonly kind: string;
}

/** {@linkcode Store} for tests; processes share it by sharing the object. */
export class MemoryStore implements Store {
  readonly #objects = new Map<string, StoredObject>();
  readonly #events: Event[] = [];
  readonly #watchers = new Set<() => void>();
  #revision = 0;
  /** All calls so far, including refused ones. */
  readonly calls: StoreCall[] = [];
  /** Called before each call. Default: no faults. */
  plan: FaultPlan = () => "none";

  /** A view of the same objects with its own fault plan. */
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
        const version = this.#nextRevision();
        // A real store serializes values; a copy prevents tests from sharing
        // state.
        const value: unknown = JSON.parse(JSON.stringify(object.value));
        const { kind, name } = object;
        this.#objects.set(keyOf(kind, name), { kind, name, version, value });
        this.#publish({ type: "put", kind, name, version, value });
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
        const version = this.#nextRevision();
        this.#publish({ type: "delete", kind, name, version });
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
    options: WatchOptions,
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
      const current = this.#objects.get(keyOf(object.kind, object.name));
      const version = current?.version ?? 0;
      if (version !== ifVersion) {
        return Effect.fail<Conflict>({ _tag: "Conflict", version });
      }
      return Effect.sync(change);
    });
  }

  #changes(
    kind: string,
    options: WatchOptions,
  ) {
    const newEvents = () =>
      this.#events.filter((event) =>
        event.kind === kind && event.version > options.from
      );
    return Effect.callback<StoreChanges>((resume) => {
      const respond = () => {
        clearTimeout(timer);
        this.#watchers.delete(check);
        resume(
          Effect.succeed({ revision: this.#revision, events: newEvents() }),
        );
      };
      const check = () => {
        if (newEvents().length > 0) respond();
      };
      const timer = setTimeout(respond, options.waitMs);
      this.#watchers.add(check);
      check();
      return Effect.sync(() => {
        clearTimeout(timer);
        this.#watchers.delete(check);
      });
    });
  }

  #nextRevision(): number {
    this.#revision += 1;
    return this.#revision;
  }

  #publish(event: Event): void {
    this.#events.push(event);
    for (const check of [...this.#watchers]) check();
  }
}

/** A view of a shared store with its own fault plan. */
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
    options: WatchOptions,
  ) {
    const call = { operation: "watch", kind } as const;
    const watch = this.#store.watch(kind, options);
    return this.#store.faulty(call, this.#plan, watch);
  }
}

function keyOf(kind: string, name: string): string {
  return `${kind}\n${name}`;
}
