/**
 * Probes that await an ack.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** A probe that awaits an ack. */
export class PendingProbe {
  readonly sequence: number;
  readonly #acked = Deferred.makeUnsafe<void>();
  #nackCount = 0;

  constructor(sequence: number) {
    this.sequence = sequence;
  }

  /** Number of helpers that reported no ack either. */
  get nackCount(): number {
    return this.#nackCount;
  }

  /** Records that the member answered, directly or to a helper. */
  recordAck(): void {
    Deferred.doneUnsafe(this.#acked, Effect.void);
  }

  /** Records that a helper got no ack. */
  recordNack(): void {
    this.#nackCount += 1;
  }

  /**
   * Waits for the ack; false if it does not arrive within `ms` milliseconds.
   */
  waitForAck(ms: number): Effect.Effect<boolean> {
    return Deferred.await(this.#acked).pipe(
      Effect.as(true),
      Effect.timeoutOrElse({
        duration: ms,
        orElse: () => Effect.succeed(false),
      }),
    );
  }
}

/** The pending probes of this process by sequence number. */
export class PendingProbes {
  readonly #pending = new Map<number, PendingProbe>();
  #sequence = 0;

  /** Runs an effect with a new pending probe, which is dropped when it ends. */
  track<A>(use: (probe: PendingProbe) => Effect.Effect<A>): Effect.Effect<A> {
    return Effect.suspend(() => {
      this.#sequence += 1;
      const probe = new PendingProbe(this.#sequence);
      this.#pending.set(probe.sequence, probe);
      const drop = Effect.sync(() => this.#pending.delete(probe.sequence));
      return use(probe).pipe(Effect.ensuring(drop));
    });
  }

  /** The probe with a sequence number; undefined if it is no longer pending. */
  get(sequence: number): PendingProbe | undefined {
    return this.#pending.get(sequence);
  }
}
