/**
 * Limits shared by several processes, whose allowances never add up to more
 * than the limit.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { SYSTEM_CLOCK } from "./clock.ts";
import type { Clock } from "./clock.ts";
import type { Membership } from "./membership.ts";
import type { Peers } from "./peers.ts";
import { rendezvous } from "./rendezvous.ts";
import { ShareHolding } from "./share_holding.ts";
import type { ShareTimes } from "./share_holding.ts";
import { decodeResponse, SHARES_CHANNEL } from "./share_message.ts";
import type {
  LimitOffer,
  OwnerTimestamp,
  ShareReport,
} from "./share_message.ts";
import { ShareOwner } from "./share_owner.ts";

const DEFAULT_TIMES: ShareTimes = {
  periodMs: 500,
  yieldMs: 5_000,
  grantMs: 2_000,
};

/** Settings of {@linkcode Shares}. */
export interface SharesOptions {
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock?: Clock;
  readonly times?: Partial<ShareTimes>;
}

/** A limit, and the share of it that this process holds. */
export interface SharedLimit {
  /** Name of the limit, such as workspace, class and kind combined. */
  readonly limit: string;
  /** Name of the share, such as a shard; one process at a time holds it. */
  readonly holder: string;
  /** Total of the limit. */
  readonly total: number;
  /** Number of shares, the same at all holders. */
  readonly holders: number;
}

/** This process's share of a limit. */
export interface Share {
  /** Returns the amount that may be used now, in the limit's unit. */
  allowance(): number;
  /** Sets the amount that could be used at present, in the limit's unit. */
  setDemand(amount: number): void;
  /** Applies a change of the limit. */
  resize(limit: { readonly total: number; readonly holders: number }): void;
  /** Stops holding the share. */
  close(): void;
}

interface LocalShare {
  readonly limit: string;
  readonly holder: string;
  readonly holding: ShareHolding;
}

/**
 * Divides limits among their holders by demand; see docs/design/shares.md.
 *
 * @example
 * ```ts
 * const shares = new Shares({ peers, membership });
 * yield* shares.start();
 * const share = shares.hold({ limit: "quotes/tokens", holder: "shard-1",
 *   total: 1_000, holders: 4 });
 * share.setDemand(600);
 * if (used < share.allowance()) admit();
 * ```
 */
export class Shares {
  readonly #peers: Peers;
  readonly #membership: Membership;
  readonly #clock: Clock;
  readonly #times: ShareTimes;
  readonly #owner: ShareOwner;
  readonly #localShares = new Set<LocalShare>();
  readonly #timestamps = new Map<string, OwnerTimestamp>();
  #reportCount = 0;

  constructor(options: SharesOptions) {
    this.#peers = options.peers;
    this.#membership = options.membership;
    this.#clock = options.clock ?? SYSTEM_CLOCK;
    this.#times = { ...DEFAULT_TIMES, ...options.times };
    this.#owner = new ShareOwner(this.#clock, this.#times);
  }

  /**
   * Joins a limit. The floor, the limit divided by the number of holders, may be
   * used immediately.
   */
  hold(limit: SharedLimit): Share {
    const holding = new ShareHolding(
      limit.total / limit.holders,
      this.#times,
    );
    const { limit: name, holder } = limit;
    const localShare: LocalShare = { limit: name, holder, holding };
    this.#localShares.add(localShare);
    return {
      allowance: () => holding.allowance(this.#clock.monotonic()),
      setDemand: (amount) => holding.setDemand(amount),
      resize: ({ total, holders }) => holding.setFloor(total / holders),
      close: () => void this.#localShares.delete(localShare),
    };
  }

  /**
   * Sends reports to owners, and handles those of other holders, until the
   * scope closes.
   */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      this.#peers.handle(
        SHARES_CHANNEL,
        (_, message) => Effect.sync(() => this.#owner.handleReport(message)),
      );
      const loop = Effect.andThen(
        Effect.sleep(this.#times.periodMs),
        this.#sendReports(),
      );
      yield* Effect.forkScoped(Effect.forever(loop));
    });
  }

  /** Sends one report to each owner of a limit held here. */
  #sendReports(): Effect.Effect<void> {
    return Effect.suspend(() =>
      Effect.forEach(
        this.#sharesByOwner(),
        ([owner, held]) => this.#reportTo(owner, held),
        { concurrency: "unbounded", discard: true },
      )
    );
  }

  #sharesByOwner(): ReadonlyMap<string, readonly LocalShare[]> {
    const names = this.#membership.view().members
      .filter(({ state }) => state === "alive")
      .map(({ member }) => member.name);
    const byOwner = new Map<string, LocalShare[]>();
    for (const held of this.#localShares) {
      const [owner] = rendezvous(`shares/${held.limit}`, names);
      if (owner === undefined) continue;
      const others = byOwner.get(owner) ?? [];
      byOwner.set(owner, [...others, held]);
    }
    return byOwner;
  }

  #reportTo(
    owner: string,
    localShares: readonly LocalShare[],
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const sentAt = this.#clock.monotonic();
      const report = this.#reportCount += 1;
      const timestamp = this.#timestamps.get(owner);
      const offers = localShares.map((
        { limit, holder, holding },
      ): LimitOffer => ({
        limit,
        holder,
        ...holding.offer(owner, sentAt),
      }));
      const body: ShareReport = timestamp === undefined
        ? { offers }
        : { stamp: timestamp, offers };
      return Effect.map(this.#sendReport(owner, body), (message) => {
        const response = decodeResponse(message);
        if (response === undefined) return;
        this.#timestamps.set(owner, response.stamp);
        for (const [index, { holding }] of localShares.entries()) {
          const granted = response.grants[index] ?? 0;
          holding.applyGrant(owner, { report, sentAt, granted });
        }
      });
    });
  }

  #sendReport(owner: string, body: ShareReport): Effect.Effect<unknown> {
    if (owner === this.#membership.self.name) {
      return Effect.sync(() => this.#owner.handleReport(body));
    }
    const request = { channel: SHARES_CHANNEL, body };
    const timeoutMs = this.#times.grantMs;
    return Effect.catch(
      this.#peers.request(owner, request, { timeoutMs }),
      () => Effect.succeed(undefined),
    );
  }
}
