/**
 * Test fixture: ends of links on the loopback interface.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import type { Scope } from "effect/Scope";
import { LinkedPeers } from "../src/connection/linked_peers.ts";
import { DEFAULT_LINK_SETTINGS } from "../src/connection/link_settings.ts";
import type { LinkSettings } from "../src/connection/link_settings.ts";
import type { Peers } from "../src/process/peers.ts";
import { SYSTEM_CLOCK } from "../src/process/clock.ts";
import type { Clock } from "../src/process/clock.ts";
import { NO_DIGEST } from "../src/process/digest.ts";
import type { Digest } from "../src/process/digest.ts";
import { TrafficCounter } from "../src/process/traffic.ts";
import type { Endpoint, ListenFailed } from "../src/process/endpoint.ts";

export const TEST_KEY = Buffer.from("a key for tests only");

export interface LinkEndOptions {
  readonly name: string;
  readonly key?: Uint8Array;
  readonly incarnation?: number;
  readonly port?: number;
  readonly settings?: Partial<LinkSettings>;
  readonly clock?: Clock;
  readonly digest?: Digest;
  readonly resolve?: (name: string) => Endpoint | undefined;
}

/**
 * Starts an end that listens on the loopback interface, by default on a free
 * port.
 */
export function startLinkEnd(options: LinkEndOptions): Effect.Effect<
  { readonly peers: LinkedPeers; readonly endpoint: Endpoint },
  ListenFailed,
  Scope
> {
  const { name, incarnation = 1 } = options;
  return LinkedPeers.make({
    endpoint: { address: "127.0.0.1", port: options.port ?? 0 },
    key: options.key ?? TEST_KEY,
    settings: { ...DEFAULT_LINK_SETTINGS, ...options.settings },
    clock: options.clock ?? SYSTEM_CLOCK,
    digest: options.digest ?? NO_DIGEST,
    traffic: new TrafficCounter(),
    self: () => ({ name, incarnation }),
    resolve: options.resolve ?? (() => undefined),
  });
}

export interface LinkPairOptions {
  readonly settings?: Partial<LinkSettings>;
  readonly bCanDialA?: boolean;
  readonly onA?: (peers: Peers) => void;
  readonly onB?: (peers: Peers) => void;
}

/** Starts ends "a" and "b" that can dial each other. */
export const startLinkPair = Effect.fnUntraced(
  function* (options: LinkPairOptions) {
    const endpoints = new Map<string, Endpoint>();
    const resolve = (name: string) => endpoints.get(name);
    const settings = options.settings ?? {};
    const a = yield* startLinkEnd({ name: "a", settings, resolve });
    const b = yield* startLinkEnd({ name: "b", settings, resolve });
    if (options.bCanDialA !== false) endpoints.set("a", a.endpoint);
    endpoints.set("b", b.endpoint);
    options.onA?.(a.peers);
    options.onB?.(b.peers);
    return { a: a.peers, b: b.peers };
  },
);
