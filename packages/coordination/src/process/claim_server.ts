/**
 * Decides claims locally, for this process and for other members.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type * as Scope from "effect/Scope";
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import { CLAIMS_CHANNEL, decodeMessage } from "./claim_message.ts";
import { ClaimPartition } from "./claim_partition.ts";
import type { ClaimPartitionOptions, Undecided } from "./claim_partition.ts";
import type { ClaimLayout } from "./claim_layout.ts";
import type { Peers } from "./peers.ts";

/** A partition without requests for this long is unloaded, to free memory. */
const IDLE_TIMEOUT_MS = 300_000;
const SWEEP_INTERVAL_MS = 60_000;

interface RunningPartition {
  readonly partition: ClaimPartition;
  readonly fiber: Fiber.Fiber<never>;
}

/** Partitions for which this process has received requests. */
export class ClaimServer {
  readonly #layout: ClaimLayout;
  readonly #options: ClaimPartitionOptions;
  readonly #scope: Scope.Scope;
  readonly #running = new Map<number, RunningPartition>();

  constructor(
    layout: ClaimLayout,
    options: ClaimPartitionOptions & { readonly scope: Scope.Scope },
  ) {
    this.#layout = layout;
    this.#options = options;
    this.#scope = options.scope;
  }

  /** Handles requests of other members until the scope closes. */
  serve(peers: Peers): Effect.Effect<void> {
    peers.handle(CLAIMS_CHANNEL, (_, message) => this.#handleMessage(message));
    const sweep = Effect.sleep(SWEEP_INTERVAL_MS).pipe(
      Effect.andThen(Effect.suspend(() => this.#sweep())),
      Effect.forever,
    );
    return Effect.asVoid(Effect.forkIn(sweep, this.#scope));
  }

  /** Decides a request on its partition, which is started if necessary. */
  submit(
    partition: number,
    request: PartitionRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<ClaimDecision, Undecided> {
    return Effect.flatMap(
      this.#partition(partition),
      (found) => found.submit(request, options),
    );
  }

  #handleMessage(message: unknown): Effect.Effect<unknown> {
    const decoded = decodeMessage(message);
    if (decoded === undefined || decoded.partition >= this.#layout.partitions) {
      const refused: Undecided = {
        _tag: "Undecided",
        reason: "The message is not valid",
        mayStand: false,
      };
      return Effect.succeed(refused);
    }
    const { partition, request, budgetMs } = decoded;
    return Effect.match(
      this.submit(partition, request, { timeoutMs: budgetMs }),
      {
        onFailure: (undecided): unknown => undecided,
        onSuccess: (decision): unknown => decision,
      },
    );
  }

  #partition(index: number): Effect.Effect<ClaimPartition> {
    return Effect.gen({ self: this }, function* () {
      const found = this.#running.get(index);
      if (found !== undefined) return found.partition;
      const partition = new ClaimPartition(index, this.#options);
      const fiber = yield* Effect.forkIn(partition.run(), this.#scope);
      this.#running.set(index, { partition, fiber });
      return partition;
    });
  }

  #sweep(): Effect.Effect<void> {
    const oldest = this.#options.clock.monotonic() - IDLE_TIMEOUT_MS;
    const idle = [...this.#running].filter(([, { partition }]) =>
      partition.pendingCount === 0 && partition.lastUsedAt < oldest
    );
    return Effect.forEach(idle, ([index, { fiber }]) => {
      this.#running.delete(index);
      return Fiber.interrupt(fiber);
    }, { discard: true });
  }
}
