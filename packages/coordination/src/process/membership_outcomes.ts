/**
 * Probes that wait for their answer.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";

/** One probe that waits for its answer. */
export class Outcome {
  readonly sequence: number;
  readonly #answered = Deferred.makeUnsafe<void>();
  #nacks = 0;

  constructor(sequence: number) {
    this.sequence = sequence;
  }

  /** How many helpers said that they got no answer either. */
  get nacks(): number {
    return this.#nacks;
  }

  /** The member answered, to us or to a helper. */
  ack(): void {
    Deferred.doneUnsafe(this.#answered, Effect.void);
  }

  /** A helper got no answer. */
  nack(): void {
    this.#nacks += 1;
  }

  /** Whether the answer comes within a time, in milliseconds. */
  answeredWithin(ms: number): Effect.Effect<boolean> {
    return Deferred.await(this.#answered).pipe(
      Effect.as(true),
      Effect.timeoutOrElse({
        duration: ms,
        orElse: () => Effect.succeed(false),
      }),
    );
  }
}

/** The probes of this process by number. */
export class Outcomes {
  readonly #waiting = new Map<number, Outcome>();
  #sequence = 0;

  /** Runs an effect that waits for the answer to one probe. */
  during<A>(use: (outcome: Outcome) => Effect.Effect<A>): Effect.Effect<A> {
    return Effect.suspend(() => {
      this.#sequence += 1;
      const outcome = new Outcome(this.#sequence);
      this.#waiting.set(outcome.sequence, outcome);
      const forget = Effect.sync(() => this.#waiting.delete(outcome.sequence));
      return use(outcome).pipe(Effect.ensuring(forget));
    });
  }

  /** The probe of a number; undefined when nothing waits for it any more. */
  of(sequence: number): Outcome | undefined {
    return this.#waiting.get(sequence);
  }
}
