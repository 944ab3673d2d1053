/**
 * Finds a member to decide a claim, and decides it here when none answers.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import type { ClaimLayout } from "./claim_layout.ts";
import {
  CLAIMS_CHANNEL,
  decodeDecision,
  encodeMessage,
} from "./claim_message.ts";
import type { Undecided } from "./claim_partition.ts";
import { partitionOf, RoutingCache } from "./claim_routing.ts";
import type { ClaimServer } from "./claim_server.ts";
import type { Clock } from "./clock.ts";
import type { Membership } from "./membership.ts";
import type { Peers, PeerUnreachable } from "./peers.ts";

/**
 * Members asked before deciding here. With one only, the loss of a server would
 * make every other member write the partition at once, until the view shows it.
 */
const MAX_REMOTE_ATTEMPTS = 2;

/** What a {@linkcode ClaimClient} needs. */
export interface ClaimClientOptions {
  readonly server: ClaimServer;
  readonly layout: ClaimLayout;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock: Clock;
}

/** Routes requests to the members that serve their partitions. */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  readonly #routes = new RoutingCache();

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /**
   * Decides a request within the time given. When it can't, the failure tells
   * whether the request may still be recorded by a member that was asked.
   */
  decide(
    request: PartitionRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<ClaimDecision, Undecided> {
    const { layout, membership, server, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const deadline = clock.monotonic() + options.timeoutMs;
      const partition = partitionOf(request.key, layout.partitions);
      const self = membership.self.name;
      const candidates = this.#routes.servers(membership.view(), partition)
        .slice(0, MAX_REMOTE_ATTEMPTS);
      let mayStand = false;
      for (const name of candidates) {
        if (name === self) break;
        const budgetMs = Math.floor((deadline - clock.monotonic()) / 2);
        if (budgetMs <= 0) break;
        const verdict = yield* this.#requestFrom(name, {
          partition,
          request,
          budgetMs,
        });
        if (verdict._tag === "PeerUnreachable") {
          mayStand ||= mayHaveArrived(verdict);
          continue;
        }
        if (verdict._tag !== "Undecided") return verdict;
        mayStand ||= verdict.mayStand;
        break;
      }
      const timeoutMs = Math.max(0, deadline - clock.monotonic());
      return yield* server.submit(partition, request, { timeoutMs }).pipe(
        Effect.mapError((undecided) => ({
          ...undecided,
          mayStand: mayStand || undecided.mayStand,
        })),
      );
    });
  }

  #requestFrom(
    name: string,
    message: {
      readonly partition: number;
      readonly request: PartitionRequest;
      readonly budgetMs: number;
    },
  ): Effect.Effect<ClaimDecision | Undecided | PeerUnreachable> {
    const answer = this.#options.peers.request(name, {
      channel: CLAIMS_CHANNEL,
      body: encodeMessage(message),
    }, { timeoutMs: message.budgetMs });
    return Effect.match(answer, {
      onFailure: (unreachable) => unreachable,
      onSuccess: (value) =>
        decodeDecision(value) ??
          {
            _tag: "Undecided",
            reason: "The verdict is not valid",
            mayStand: true,
          },
    });
  }
}

function mayHaveArrived({ reason }: PeerUnreachable): boolean {
  return reason !== "no-link" && reason !== "refused";
}
