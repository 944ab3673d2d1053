/**
 * Composition of a fleet member from its links, membership and host list.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import { LinkedPeers } from "./connection/linked_peers.ts";
import { DEFAULT_LINK_SETTINGS } from "./connection/link_settings.ts";
import type { LinkSettings } from "./connection/link_settings.ts";
import type { Peers } from "./process/peers.ts";
import { SYSTEM_CLOCK } from "./process/clock.ts";
import type { Clock } from "./process/clock.ts";
import { NO_DIGEST } from "./process/digest.ts";
import type { Digest } from "./process/digest.ts";
import type { Endpoint, ListenFailed } from "./process/endpoint.ts";
import type { HostList } from "./process/host_list.ts";
import type { MembershipEvent } from "./process/membership_event.ts";
import { ProbedMembership } from "./process/membership_probed.ts";
import { DEFAULT_PROBE_SETTINGS } from "./process/membership_settings.ts";
import type { ProbeSettings } from "./process/membership_settings.ts";
import { openUdp } from "./process/membership_transport.ts";
import type { ProbeTransport } from "./process/membership_transport.ts";
import type { Membership } from "./process/membership.ts";
import { TrafficCounter } from "./process/traffic.ts";
import type { Traffic } from "./process/traffic.ts";

/** Options of {@linkcode startNode}. */
export interface NodeOptions {
  /** Unique within the deployment. */
  readonly name: string;
  /** IP address that others dial. */
  readonly address: string;
  /** Port that others dial, TCP and UDP; 0 selects a free one. */
  readonly port: number;
  /** Endpoint to listen on, if it differs from the one that others dial. */
  readonly listen?: Endpoint;
  readonly region: string;
  readonly failureDomain: string;
  /**
   * Increases with each start of this host. Default: the time of the start, in
   * milliseconds since the epoch.
   */
  readonly incarnation?: number;
  /** Authentication key shared by all members. Never logged. */
  readonly key: string;
  /** The hosts to discover members from. */
  readonly hostList: HostList;
  /** Piggybacked on heartbeats and probes. Default: empty. */
  readonly digest?: Digest;
  readonly links?: Partial<LinkSettings>;
  readonly probes?: Partial<ProbeSettings>;
  readonly clock?: Clock;
  /** Called for each membership event worth a log line. */
  readonly onEvent?: (event: MembershipEvent) => void;
}

/** A running member of the fleet. */
export interface CoordinationNode {
  readonly peers: Peers;
  readonly membership: Membership;
  readonly hostList: HostList;
  /** Announces that this process is leaving; it continues to answer probes. */
  readonly leave: Effect.Effect<void>;
  /** Traffic since the start, for metrics. */
  traffic(): NodeTraffic;
}

/** Traffic of a member, by protocol. */
export interface NodeTraffic {
  /** Datagrams of the membership protocol. */
  readonly probes: Traffic;
  /** Frames of links, excluding those of the handshake. */
  readonly links: Traffic;
}

/**
 * Starts a member, which takes part in the fleet until the scope closes.
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
): Effect.fn.Return<CoordinationNode, ListenFailed, Scope.Scope> {
  const clock = options.clock ?? SYSTEM_CLOCK;
  const key = Buffer.from(options.key);
  const digest = options.digest ?? NO_DIGEST;
  const incarnation = options.incarnation ?? Math.floor(clock.now());
  const { name, address, region, failureDomain, hostList } = options;
  // Links resolve members through the membership, which needs the links' port
  // first.
  const lateBound: { membership?: ProbedMembership } = {};
  const probes = new TrafficCounter();
  const links = new TrafficCounter();
  const { peers, transport, port } = yield* listenTcpAndUdp(options, probes, {
    traffic: links,
    key,
    settings: { ...DEFAULT_LINK_SETTINGS, ...options.links },
    clock,
    digest,
    self: () => lateBound.membership?.self ?? { name, incarnation },
    resolve: (peer) => lateBound.membership?.member(peer),
  });
  const membership = yield* ProbedMembership.make({
    self: { name, address, port, region, failureDomain, incarnation },
    hostList,
    transport,
    settings: { ...DEFAULT_PROBE_SETTINGS, ...options.probes },
    clock,
    digest,
    key,
    onEvent: options.onEvent ?? (() => {}),
  });
  lateBound.membership = membership;
  // A link that cannot be dialled again suggests that the host has failed.
  // Probing decides, since only the path of this link may be broken.
  peers.subscribe((peer, state) => {
    if (state === "down") membership.probeSoon(peer);
  });
  return {
    peers,
    membership,
    hostList,
    leave: membership.leave(),
    traffic: () => ({ probes: probes.read(), links: links.read() }),
  };
});

interface Listeners {
  readonly peers: LinkedPeers;
  readonly transport: ProbeTransport;
  /** Port that others dial. */
  readonly port: number;
}

const PORT_ATTEMPTS = 10;

/** Listens on TCP and UDP with the same port number. */
function listenTcpAndUdp(
  options: NodeOptions,
  probes: TrafficCounter,
  links: Omit<Parameters<typeof LinkedPeers.make>[0], "endpoint">,
): Effect.Effect<Listeners, ListenFailed, Scope.Scope> {
  const listen = options.listen ?? options;
  const attempt = Effect.gen(function* () {
    const endpoint = { address: listen.address, port: listen.port };
    const tcp = yield* LinkedPeers.make({ ...links, endpoint });
    const transport = yield* openUdp(tcp.endpoint, probes);
    const port = options.port === 0 ? tcp.endpoint.port : options.port;
    return { peers: tcp.peers, transport, port };
  });
  // A port that is free for TCP may be in use for UDP; then another is tried.
  const attempts = listen.port === 0 ? PORT_ATTEMPTS : 1;
  return inOwnScope(attempt).pipe(Effect.retry({ times: attempts - 1 }));
}

/**
 * Closes the resources of a failed attempt immediately, not with the outer scope.
 */
function inOwnScope<A, E>(
  effect: Effect.Effect<A, E, Scope.Scope>,
): Effect.Effect<A, E, Scope.Scope> {
  return Effect.gen(function* () {
    const outer = yield* Effect.scope;
    const inner = yield* Scope.fork(outer);
    return yield* Scope.provide(effect, inner).pipe(
      Effect.onError((cause) => Scope.close(inner, Exit.failCause(cause))),
    );
  });
}
