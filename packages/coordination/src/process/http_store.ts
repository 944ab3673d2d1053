/**
 * HTTP client of the platform's object store.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import { HttpClient } from "./http_client.ts";
import type { StoreResponse } from "./http_client.ts";
import {
  removalResult,
  responseBody,
  writtenVersion,
} from "./http_response.ts";
import { SYSTEM_CLOCK } from "./clock.ts";
import type { Clock } from "./clock.ts";
import { RetryAfterGate } from "./retry_after_gate.ts";
import type {
  Conflict,
  ObjectKey,
  ObjectWrite,
  Store,
  StoreChanges,
  StoredObject,
  StoreListing,
  Unavailable,
  WatchOptions,
  WriteCondition,
} from "./store.ts";

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_CONCURRENT = 32;
/** Time that a long poll may take beyond its own wait. */
const WATCH_MARGIN_MS = 2_000;

/** Settings of an {@linkcode HttpStore}. */
export interface HttpStoreOptions {
  /** Address of the store, such as `http://10.0.0.1:7000`. */
  readonly url: string;
  /**
   * Time-out of one call in milliseconds, including the wait for a free
   * connection; 2,000 by default.
   */
  readonly timeoutMs?: number;
  /**
   * Maximum number of concurrent calls, not counting watches; 32 by default.
   */
  readonly maxConcurrent?: number;
  readonly clock?: Clock;
}

/** Calls made since the start, for metrics. */
export interface StoreCounters {
  readonly reads: number;
  readonly writes: number;
  /** Bytes of the values written. */
  readonly writtenBytes: number;
  readonly watches: number;
  /** Conditional writes that found a different version. */
  readonly conflicts: number;
  /** Calls that ended without a usable response. */
  readonly failures: number;
  /** Calls that were not made because the store had asked to wait. */
  readonly held: number;
}

type CountersDraft = { -readonly [K in keyof StoreCounters]: number };

/**
 * {@linkcode Store} over Node's HTTP client, with persistent connections.
 *
 * A call that times out fails, and its connection is closed together with the
 * idle ones: a network path that has lost the state of one connection has often
 * lost that of the others, and a new connection works.
 *
 * @example
 * ```ts
 * const store = new HttpStore({ url: "http://127.0.0.1:7000" });
 * const object = await Effect.runPromise(store.read("table", "current"));
 * store.close();
 * ```
 */
export class HttpStore implements Store {
  readonly #calls: HttpClient;
  readonly #watches: HttpClient;
  readonly #timeoutMs: number;
  readonly #readGate: RetryAfterGate;
  readonly #writeGate: RetryAfterGate;
  readonly #counters: CountersDraft = {
    reads: 0,
    writes: 0,
    writtenBytes: 0,
    watches: 0,
    conflicts: 0,
    failures: 0,
    held: 0,
  };

  constructor(options: HttpStoreOptions) {
    const clock = options.clock ?? SYSTEM_CLOCK;
    const base = new URL(options.url);
    const maxSockets = options.maxConcurrent ?? DEFAULT_MAX_CONCURRENT;
    this.#calls = new HttpClient(base, { maxSockets });
    this.#watches = new HttpClient(base, { maxSockets: Infinity });
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#readGate = new RetryAfterGate(clock);
    this.#writeGate = new RetryAfterGate(clock);
  }

  /** Calls made so far. */
  get counters(): StoreCounters {
    return { ...this.#counters };
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    this.#calls.close();
    this.#watches.close();
  }

  read(
    kind: string,
    name: string,
  ): Effect.Effect<StoredObject | undefined, Unavailable> {
    const call = this.#read(pathOf(kind, name));
    return Effect.flatMap(call, (response) => {
      if (response.status === 404) return Effect.succeed(undefined);
      return this.#countFailures(responseBody<StoredObject>(response));
    });
  }

  write(
    object: ObjectWrite,
    options: WriteCondition,
  ): Effect.Effect<number, Conflict | Unavailable> {
    const call = this.#write("PUT", pathOf(object.kind, object.name), {
      ifVersion: options.ifVersion,
      value: object.value,
    });
    return Effect.flatMap(
      call,
      (response) => this.#countFailures(writtenVersion(response)),
    );
  }

  remove(
    object: ObjectKey,
    options: WriteCondition,
  ): Effect.Effect<void, Conflict | Unavailable> {
    const path = pathOf(object.kind, object.name);
    const call = this.#write("DELETE", path, options);
    return Effect.flatMap(
      call,
      (response) => this.#countFailures(removalResult(response)),
    );
  }

  list(kind: string): Effect.Effect<StoreListing, Unavailable> {
    return Effect.flatMap(
      this.#read(pathOf(kind)),
      (response) =>
        Effect.map(
          this.#countFailures(
            responseBody<StoreListing>(response),
          ),
          (body) => ({
            revision: body.revision,
            items: body.items.map((item) => ({ ...item, kind })),
          }),
        ),
    );
  }

  watch(
    kind: string,
    options: WatchOptions,
  ): Effect.Effect<StoreChanges, Unavailable> {
    const path = `/watch/${
      encodeURIComponent(kind)
    }?from=${options.from}&wait=${options.waitMs}`;
    const call = Effect.suspend(() => {
      this.#counters.watches += 1;
      return this.#watches.send({ method: "GET", path }, {
        timeoutMs: options.waitMs + WATCH_MARGIN_MS,
      });
    }).pipe(
      // A fault that silences the watch also silences the idle connections of
      // the calls, and the list that follows would time out on one of them.
      Effect.tapError(() =>
        Effect.sync(() => this.#calls.closeIdleConnections())
      ),
    );
    return Effect.flatMap(
      this.#sendUnlessBlocked(this.#readGate, call),
      (response) =>
        this.#countFailures(
          responseBody<StoreChanges>(response),
        ),
    );
  }

  #read(path: string): Effect.Effect<StoreResponse, Unavailable> {
    const call = Effect.suspend(() => {
      this.#counters.reads += 1;
      return this.#calls.send({ method: "GET", path }, {
        timeoutMs: this.#timeoutMs,
      });
    });
    return this.#sendUnlessBlocked(this.#readGate, call);
  }

  #write(
    method: "PUT" | "DELETE",
    path: string,
    options: { readonly ifVersion: number; readonly value?: unknown },
  ): Effect.Effect<StoreResponse, Unavailable> {
    const call = Effect.suspend(() => {
      this.#counters.writes += 1;
      const headers = { "if-version": String(options.ifVersion) };
      const body = method === "PUT" ? JSON.stringify(options.value) : undefined;
      this.#counters.writtenBytes += Buffer.byteLength(body ?? "");
      return this.#calls.send({ method, path, headers, body }, {
        timeoutMs: this.#timeoutMs,
      });
    });
    return this.#sendUnlessBlocked(this.#writeGate, call);
  }

  #sendUnlessBlocked(
    gate: RetryAfterGate,
    call: Effect.Effect<StoreResponse, Unavailable>,
  ): Effect.Effect<StoreResponse, Unavailable> {
    return Effect.suspend(() => {
      const remainingMs = gate.remainingMs();
      if (remainingMs > 0) {
        this.#counters.held += 1;
        return Effect.fail<Unavailable>({
          _tag: "Unavailable",
          reason: "The store asked to wait",
          mayHaveWritten: false,
          retryAfterMs: remainingMs,
        });
      }
      return this.#countFailures(call).pipe(
        Effect.tap((response) =>
          Effect.sync(() => gate.recordResponse(response))
        ),
      );
    });
  }

  /** Counts conflicts and failures of calls. */
  #countFailures<A, E extends Conflict | Unavailable>(
    call: Effect.Effect<A, E>,
  ): Effect.Effect<A, E> {
    return Effect.tapError(call, (error) =>
      Effect.sync(() => {
        if (error._tag === "Conflict") this.#counters.conflicts += 1;
        else this.#counters.failures += 1;
      }));
  }
}

function pathOf(kind: string, name?: string): string {
  const path = `/objects/${encodeURIComponent(kind)}`;
  return name === undefined ? path : `${path}/${encodeURIComponent(name)}`;
}
