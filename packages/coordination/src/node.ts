/**
 * One member, composed: its links, its membership and its host list.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import type { Scope } from "effect/Scope";
import type { Endpoint, ListenFailed } from "./connection/dial.ts";
import { LinkedPeers, NO_DIGEST } from "./connection/linked_peers.ts";
import type { Digest } from "./connection/linked_peers.ts";
import { DEFAULT_LINK_SETTINGS } from "./connection/link_settings.ts";
import type { LinkSettings } from "./connection/link_settings.ts";
import type { Peers } from "./process/peers.ts";
import { SYSTEM_CLOCK } from "./process/clock.ts";
import type { Clock } from "./process/clock.ts";
import type { HostList } from "./process/host_list.ts";
import { ListedMembership } from "./process/membership_listed.ts";
import type { Member, Membership } from "./process/membership.ts";

/** How this process takes part. */
export interface NodeOptions {
  /** Unique over the deployment. */
  readonly name: string;
  /** IP address to listen on, which others dial. */
  readonly address: string;
  /** Port for TCP and UDP; 0 takes a free one. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  /**
   * Grows with each start of this host. Default: the time of the start in
   * milliseconds since the epoch.
   */
  readonly incarnation?: number;
  /** The key that all members share. Never logged. */
  readonly key: string;
  /** Who may exist. */
  readonly hostList: HostList;
  /** Rides on heartbeats and probes. Default: nothing. */
  readonly digest?: Digest;
  readonly links?: Partial<LinkSettings>;
  readonly clock?: Clock;
}

/** A process that takes part. */
export interface CoordinationNode {
  readonly peers: Peers;
  readonly membership: Membership;
  readonly hostList: HostList;
  /** Announces that this process leaves; it goes on answering. */
  readonly leave: Effect.Effect<void>;
}

/**
 * Takes part until the scope closes.
 *
 * @example
 * ```ts
 * const node = yield* startNode({
 *   name: "portmore-1",
 *   address: "10.0.0.1",
 *   port: 7000,
 *   region: "kingston",
 *   failureDomain: "portmore",
 *   key: settings.key,
 *   hostList: yield* followHostList({ url: settings.platform }),
 * });
 * node.peers.handle("echo", (_from, message) => Effect.succeed(message));
 * ```
 */
export const startNode = Effect.fnUntraced(function* (
  options: NodeOptions,
): Effect.fn.Return<CoordinationNode, ListenFailed, Scope> {
  const clock = options.clock ?? SYSTEM_CLOCK;
  const incarnation = options.incarnation ?? Math.floor(clock.now());
  const { name, address, region, failureDomain, hostList } = options;
  const endpoints = new Map<string, Endpoint>();
  const started = yield* LinkedPeers.make({
    endpoint: { address, port: options.port },
    key: Buffer.from(options.key),
    settings: { ...DEFAULT_LINK_SETTINGS, ...options.links },
    clock,
    digest: options.digest ?? NO_DIGEST,
    self: () => ({ name, incarnation }),
    resolve: (peer) => endpoints.get(peer),
  });
  const { port } = started.endpoint;
  const self: Member = {
    name,
    address,
    port,
    region,
    failureDomain,
    incarnation,
  };
  const membership = new ListedMembership(self, hostList);
  const index = () => {
    endpoints.clear();
    for (const { member } of membership.view().members) {
      endpoints.set(member.name, member);
    }
  };
  index();
  membership.subscribe(index);
  const leave = Effect.void;
  return { peers: started.peers, membership, hostList, leave };
});
