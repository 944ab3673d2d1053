/**
 * Records the outcome of claims in the background.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { ClaimClient } from "./claim_client.ts";
import type { ClaimRequest, SettleRequest } from "./claim_decision.ts";
import { answerBytes } from "./claim_record.ts";
import type { ClaimSettings } from "./claim_settings.ts";
import type { ClaimSettlement } from "./claims.ts";
import type { Clock } from "./clock.ts";
import type { CrashPoints } from "./crash_points.ts";

const MIN_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 8_000;
const DRAIN_POLL_MS = 20;
/**
 * Maximum number of unrecorded settlements. Further ones are dropped, and their
 * claims remain.
 */
const MAX_PENDING = 10_000;

/** Options of a {@linkcode ClaimSettler}. */
export interface ClaimSettlerOptions {
  readonly clock: Clock;
  readonly crashPoints: CrashPoints;
  readonly settings: ClaimSettings;
  /** Completes once claims can be made. */
  readonly client: Effect.Effect<ClaimClient>;
}

/**
 * Settles claims, and retries for a limited time while the store is
 * unreachable.
 */
export class ClaimSettler {
  readonly #options: ClaimSettlerOptions;
  #scope: Scope.Scope | undefined;
  #pending = 0;

  constructor(options: ClaimSettlerOptions) {
    this.#options = options;
  }

  /** Number of settlements that are not recorded yet. */
  get pending(): number {
    return this.#pending;
  }

  /** Sets the scope in which settlements are recorded. */
  setScope(scope: Scope.Scope): void {
    this.#scope = scope;
  }

  /**
   * Queues a settlement. A claim that cannot be settled remains in the store.
   */
  settle(
    request: ClaimRequest,
    settlement: ClaimSettlement,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const scope = this.#scope;
      if (scope === undefined || this.#pending >= MAX_PENDING) {
        return Effect.void;
      }
      this.#pending += 1;
      const { maxAnswerBytes } = this.#options.settings;
      const settle = toSettleRequest(request, settlement, { maxAnswerBytes });
      const recording = Effect.ensuring(
        this.#record(settle),
        Effect.sync(() => {
          this.#pending -= 1;
        }),
      );
      return Effect.asVoid(Effect.forkIn(recording, scope));
    });
  }

  /** Completes when all settlements are recorded or given up. */
  drain(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#pending > 0) yield* Effect.sleep(DRAIN_POLL_MS);
    });
  }

  /**
   * Retries until the settlement is recorded, or until no caller can still be
   * waiting for it.
   */
  #record(request: SettleRequest): Effect.Effect<void> {
    const { clock, crashPoints, settings } = this.#options;
    const { timeoutMs, settlePatienceMs } = settings;
    const deadline = clock.monotonic() + settlePatienceMs;
    return Effect.gen({ self: this }, function* () {
      yield* crashPoints.reached("claim.before_settle");
      const client = yield* this.#options.client;
      let delayMs = MIN_RETRY_DELAY_MS;
      while (clock.monotonic() < deadline) {
        const decision = client.decide(request, { timeoutMs });
        const recorded = yield* Effect.match(decision, {
          onFailure: () => false,
          onSuccess: () => true,
        });
        if (recorded) break;
        yield* Effect.sleep(delayMs);
        delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
      }
      yield* crashPoints.reached("claim.after_settle");
    });
  }
}

function toSettleRequest(
  request: ClaimRequest,
  settlement: ClaimSettlement,
  options: { readonly maxAnswerBytes: number },
): SettleRequest {
  const { _tag: _, ...identity } = request;
  switch (settlement._tag) {
    case "NotRun":
      return { _tag: "Settle", ...identity, state: "withdrawn" };
    case "MayHaveRun":
      return { _tag: "Settle", ...identity, state: "may-have-run" };
    case "Answered": {
      const { answer } = settlement;
      const kept = answer !== undefined &&
        answerBytes(answer) <= options.maxAnswerBytes;
      return {
        _tag: "Settle",
        ...identity,
        state: "answered",
        ...(kept ? { answer } : {}),
      };
    }
  }
}
