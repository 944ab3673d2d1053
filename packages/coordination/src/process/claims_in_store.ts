/**
 * Implementation of {@linkcode Claims} on the platform's object store.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type * as Scope from "effect/Scope";
import type {
  Claim,
  ClaimOutcome,
  Claims,
  ClaimUnavailable,
} from "./claims.ts";
import { ClaimClient } from "./claim_client.ts";
import type { ClaimDecision, ClaimRequest } from "./claim_decision.ts";
import { ensureLayout } from "./claim_layout.ts";
import type { ClaimLayout } from "./claim_layout.ts";
import type { Undecided } from "./claim_partition.ts";
import { bodyDigest, keyDigest } from "./claim_record.ts";
import { ClaimServer } from "./claim_server.ts";
import { ClaimSettler } from "./claim_settler.ts";
import { claimSettings } from "./claim_settings.ts";
import type { ClaimSettings } from "./claim_settings.ts";
import { elapsedSince, SYSTEM_CLOCK, timestampOf } from "./clock.ts";
import type { Clock, Timestamp } from "./clock.ts";
import { NO_CRASH_POINTS } from "./crash_points.ts";
import type { CrashPoints } from "./crash_points.ts";
import type { Membership } from "./membership.ts";
import type { Peers } from "./peers.ts";
import type { Store } from "./store.ts";

const ID_BYTES = 9;
const RETRY_AFTER_MS = 1_000;
const FULL_RETRY_AFTER_MS = 30_000;
const LAYOUT_RETRY_MS = 500;
/**
 * Fraction of the time-out after which a decision gives up, so that it can
 * still report the reason.
 */
const DECISION_TIMEOUT_FRACTION = 0.9;

/** Settings of {@linkcode ClaimsInStore}. */
export interface ClaimsInStoreOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock?: Clock;
  readonly crashPoints?: CrashPoints;
  readonly settings?: Partial<ClaimSettings>;
}

/**
 * {@linkcode Claims} whose safety rests on conditional updates alone; see
 * docs/design/claims.md. Call {@linkcode ClaimsInStore.start} in the daemon's
 * scope before claiming, and {@linkcode ClaimsInStore.drain} on shutdown.
 *
 * @example
 * ```ts
 * const claims = new ClaimsInStore({ store, peers, membership });
 * yield* claims.start();
 * const outcome = yield* claims.claim("a/quotes/42", { digest });
 * if (outcome._tag !== "Claimed" || !outcome.claim.mayStart()) return;
 * const answer = yield* send();
 * yield* outcome.claim.settle({ _tag: "Answered", answer });
 * ```
 */
export class ClaimsInStore implements Claims {
  readonly #options: ClaimsInStoreOptions;
  readonly #settings: ClaimSettings;
  readonly #clock: Clock;
  readonly #crashPoints: CrashPoints;
  readonly #client = Deferred.makeUnsafe<ClaimClient>();
  readonly #settler: ClaimSettler;

  constructor(options: ClaimsInStoreOptions) {
    this.#options = options;
    this.#settings = claimSettings(options.settings);
    this.#clock = options.clock ?? SYSTEM_CLOCK;
    this.#crashPoints = options.crashPoints ?? NO_CRASH_POINTS;
    this.#settler = new ClaimSettler({
      clock: this.#clock,
      crashPoints: this.#crashPoints,
      settings: this.#settings,
      client: Deferred.await(this.#client),
    });
  }

  /** Number of settlements that are not recorded yet. */
  get pendingSettlements(): number {
    return this.#settler.pending;
  }

  /**
   * Makes claims, and serves those of other members, until the scope closes.
   */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#settler.setScope(scope);
      yield* Effect.forkIn(this.#initialize(scope), scope);
    });
  }

  /**
   * Completes when all settlements are recorded; the caller limits the time.
   */
  drain(): Effect.Effect<void> {
    return this.#settler.drain();
  }

  claim(
    key: string,
    options: { readonly digest: string },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
    return Effect.suspend(() => {
      const request: ClaimRequest = {
        _tag: "Claim",
        key: keyDigest(key),
        digest: bodyDigest(options.digest),
        id: randomBytes(ID_BYTES).toString("base64url"),
        by: this.#options.membership.self.name,
      };
      const startedAt = timestampOf(this.#clock);
      return Effect.matchEffect(this.#requestDecision(request), {
        onFailure: (undecided) => this.#abandon(request, undecided),
        onSuccess: (decision) =>
          this.#toOutcome(decision, { key, request, startedAt }),
      }).pipe(Effect.onInterrupt(() => this.#withdraw(request)));
    });
  }

  #requestDecision(
    request: ClaimRequest,
  ): Effect.Effect<ClaimDecision, Undecided> {
    const { timeoutMs } = this.#settings;
    return Effect.gen({ self: this }, function* () {
      yield* this.#crashPoints.reached("claim.before_ask");
      const client = yield* Deferred.await(this.#client);
      const decision = yield* client.decide(request, {
        timeoutMs: timeoutMs * DECISION_TIMEOUT_FRACTION,
      });
      yield* this.#crashPoints.reached("claim.after_ask");
      return decision;
    }).pipe(Effect.timeoutOrElse({
      duration: timeoutMs,
      orElse: () =>
        Effect.fail<Undecided>({
          _tag: "Undecided",
          reason: "No decision within the time-out",
          mayStand: Deferred.isDoneUnsafe(this.#client),
        }),
    }));
  }

  #toOutcome(
    decision: ClaimDecision,
    attempt: {
      readonly key: string;
      readonly request: ClaimRequest;
      readonly startedAt: Timestamp;
    },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
    const { request } = attempt;
    switch (decision._tag) {
      case "Claimed":
        return this.#toClaimedOutcome(attempt);
      case "Answered":
      case "Mismatch":
        return Effect.succeed(decision);
      case "Taken":
        return Effect.succeed(this.#toTakenOutcome(decision));
      case "Full":
        return Effect.fail({
          _tag: "ClaimUnavailable",
          reason: "full",
          message: "Cannot claim the key: its partition is full",
          retryAfterMs: FULL_RETRY_AFTER_MS,
        });
      default:
        return this.#abandon(request, {
          _tag: "Undecided",
          reason: `Unexpected decision "${decision._tag}"`,
          mayStand: true,
        });
    }
  }

  /**
   * Returns the claim unless the decision arrived too late. After a pause
   * during the request, the claim may have been made long ago and even have
   * expired since; its caller has disconnected and may have retried elsewhere.
   */
  #toClaimedOutcome(
    attempt: {
      readonly key: string;
      readonly request: ClaimRequest;
      readonly startedAt: Timestamp;
    },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
    const { key, request, startedAt } = attempt;
    const { timeoutMs, startWithinMs } = this.#settings;
    const elapsed = () => elapsedSince(startedAt, this.#clock);
    if (elapsed() > timeoutMs) {
      return this.#abandon(request, {
        _tag: "Undecided",
        reason: "The decision arrived after the time-out",
        mayStand: true,
      });
    }
    const claim: Claim = {
      key,
      id: request.id,
      mayStart: () => elapsed() < timeoutMs + startWithinMs,
      settle: (settlement) => this.#settler.settle(request, settlement),
    };
    return Effect.succeed({ _tag: "Claimed", claim });
  }

  /**
   * Reports the attempt that holds the key. A running attempt of a process that
   * is not in the view may have run.
   */
  #toTakenOutcome(
    decision: ClaimDecision & { readonly _tag: "Taken" },
  ): ClaimOutcome {
    const { by } = decision;
    const { members } = this.#options.membership.view();
    const isMember = members.some(({ member }) => member.name === by);
    if (decision.state === "answered") {
      return { _tag: "Taken", by, state: "answered" };
    }
    const running = decision.state === "running" && isMember;
    return { _tag: "Taken", by, state: running ? "running" : "may-have-run" };
  }

  /**
   * Fails with `ClaimUnavailable`, and withdraws the claim if it may be
   * recorded.
   */
  #abandon(
    request: ClaimRequest,
    undecided: Undecided,
  ): Effect.Effect<never, ClaimUnavailable> {
    const failure: ClaimUnavailable = {
      _tag: "ClaimUnavailable",
      reason: "store",
      message:
        "Cannot claim the key: the store can't be reached or is too slow",
      detail: undecided.reason,
      retryAfterMs: undecided.retryAfterMs ?? RETRY_AFTER_MS,
    };
    // During a store outage most claims were never written. Withdrawing them
    // would crowd out the settlements of those that were.
    const withdrawal = undecided.mayStand
      ? this.#withdraw(request)
      : Effect.void;
    return Effect.andThen(withdrawal, Effect.fail(failure));
  }

  /** Settles a claim as not run, so that the key is free again. */
  #withdraw(request: ClaimRequest): Effect.Effect<void> {
    return this.#settler.settle(request, { _tag: "NotRun" });
  }

  /**
   * Reads or creates the layout, and then starts to make and serve claims. Until
   * then, claims time out as unavailable.
   */
  #initialize(scope: Scope.Scope): Effect.Effect<void> {
    const { store, peers, membership } = this.#options;
    const { partitions, windowMs } = this.#settings;
    return Effect.gen({ self: this }, function* () {
      const layout = yield* Effect.retry(
        ensureLayout(store, { partitions, windowMs }),
        { schedule: Schedule.spaced(LAYOUT_RETRY_MS) },
      );
      const server = this.#createServer(layout, scope);
      yield* server.serve(peers);
      const client = new ClaimClient({
        server,
        layout,
        peers,
        membership,
        clock: this.#clock,
      });
      Deferred.doneUnsafe(this.#client, Effect.succeed(client));
    }).pipe(Effect.ignore);
  }

  #createServer(layout: ClaimLayout, scope: Scope.Scope): ClaimServer {
    const { writesPerSecond, batchMs, limits } = this.#settings;
    return new ClaimServer(layout, {
      scope,
      store: this.#options.store,
      clock: this.#clock,
      crashPoints: this.#crashPoints,
      batchMs,
      writesPerSecond: writesPerSecond / layout.partitions,
      limits: { ...limits, retentionMs: this.#retentionMs(layout) },
    });
  }

  /**
   * Returns the window plus the time that may pass before a claim is used or
   * decided.
   */
  #retentionMs(layout: ClaimLayout): number {
    const MAX_CLOCK_DRIFT = 0.01;
    const { timeoutMs, startWithinMs } = this.#settings;
    return layout.windowMs * (1 + MAX_CLOCK_DRIFT) + 2 * timeoutMs +
      startWithinMs;
  }
}
