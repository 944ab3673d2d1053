/**
 * Forwards a request to the member that serves its partition, and decides it
 * locally if no member responds.
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
 * Maximum number of members that are tried before the request is decided
 * locally. If it were 1, the loss of a serving member would make all others
 * write the partition concurrently, until the membership view shows the loss.
 */
const MAX_REMOTE_ATTEMPTS = 2;

/** Options of a {@linkcode ClaimClient}. */
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
   * Decides a request within the given time. A failure states whether a member
   * that received the request may still record it.
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
        // Half of the remaining time is left for further attempts.
        const budgetMs = Math.floor((deadline - clock.monotonic()) / 2);
        if (budgetMs <= 0) break;
        const decision = yield* this.#requestFrom(name, {
          partition,
          request,
          budgetMs,
        });
        if (decision._tag === "PeerUnreachable") {
          mayStand ||= mayHaveArrived(decision);
          continue;
        }
        if (decision._tag !== "Undecided") return decision;
        mayStand ||= decision.mayStand;
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
    const response = this.#options.peers.request(name, {
      channel: CLAIMS_CHANNEL,
      body: encodeMessage(message),
    }, { timeoutMs: message.budgetMs });
    return Effect.match(response, {
      onFailure: (unreachable) => unreachable,
      onSuccess: (value) =>
        decodeDecision(value) ??
          {
            _tag: "Undecided",
            reason: "The decision is not valid",
            mayStand: true,
          },
    });
  }
}

/** Whether the handler of the unreachable member may have run. */
function mayHaveArrived({ reason }: PeerUnreachable): boolean {
  return reason !== "no-link" && reason !== "refused";
}
