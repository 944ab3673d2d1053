/**
 * Members of a measurement: real coordination nodes whose host list the
 * measurement sets, with their messages and store calls counted.
 *
 * @module
 */
import {
  type CoordinationNode,
  type Host,
  type MessageHandler,
  type Peers,
  type PeerUnreachable,
  startNode,
  type Store,
} from "@umbermast/coordination";
import { SettableHostList } from "@umbermast/coordination/testing";
import * as Effect from "effect/Effect";
import * as Scope from "effect/Scope";
import type { Meter } from "./slopes_meter.ts";

const KEY = "a key for measurements only";
const ADDRESS = "127.0.0.1";

/** Messages between members, counted; heartbeats are not. */
export class MeteredPeers implements Peers {
  readonly #peers: Peers;
  readonly #meter: Meter;

  constructor(peers: Peers, meter: Meter) {
    this.#peers = peers;
    this.#meter = meter;
  }

  send(to: string, channel: string, message: unknown): boolean {
    this.#meter.countMessages(1);
    return this.#peers.send(to, channel, message);
  }

  request(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
    options: { readonly timeoutMs: number },
  ): Effect.Effect<unknown, PeerUnreachable> {
    this.#meter.countMessages(2);
    return this.#peers.request(to, message, options);
  }

  handle(channel: string, handler: MessageHandler): void {
    this.#peers.handle(channel, (from, message) => {
      this.#meter.countMessages(1);
      return handler(from, message);
    });
  }

  subscribe(
    listener: (peer: string, state: "up" | "down") => void,
  ): () => void {
    return this.#peers.subscribe(listener);
  }
}

/** A store whose calls are counted; a waiting watch counts when it is asked. */
export class MeteredStore implements Store {
  readonly #store: Store;
  readonly #meter: Meter;

  constructor(store: Store, meter: Meter) {
    this.#store = store;
    this.#meter = meter;
  }

  read: Store["read"] = (kind, name) =>
    this.#counted(this.#store.read(kind, name));

  write: Store["write"] = (object, options) =>
    this.#counted(this.#store.write(object, options));

  remove: Store["remove"] = (object, options) =>
    this.#counted(this.#store.remove(object, options));

  list: Store["list"] = (kind) => this.#counted(this.#store.list(kind));

  watch: Store["watch"] = (kind, options) =>
    this.#counted(this.#store.watch(kind, options));

  #counted<A, E>(call: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.#meter.countStoreCall();
      return call;
    });
  }
}

/** A scope that lasts as long as the process. */
const processScope = Scope.makeUnsafe();

/** Runs an effect whose resources live as long as the process. */
export function runHere<A, E>(
  effect: Effect.Effect<A, E, Scope.Scope>,
): Promise<A> {
  return Effect.runPromise(Scope.provide(effect, processScope));
}

/** A member with what the measurement needs of it. */
export interface RigNode {
  readonly node: CoordinationNode;
  readonly peers: MeteredPeers;
  readonly hostList: SettableHostList;
  /** This member as the platform would list it. */
  readonly host: Host;
}

/** Starts a member on a free port of the loopback interface. */
export async function startRigNode(
  name: string,
  options: { readonly meter: Meter; readonly failureDomain?: string },
): Promise<RigNode> {
  const hostList = new SettableHostList();
  const failureDomain = options.failureDomain ?? "domain-1";
  const incarnation = 1;
  const node = await runHere(startNode({
    name,
    address: ADDRESS,
    port: 0,
    region: "region-1",
    failureDomain,
    incarnation,
    key: KEY,
    hostList,
  }));
  const host: Host = {
    name,
    role: "entry",
    address: ADDRESS,
    port: node.membership.self.port,
    region: "region-1",
    failureDomain,
    state: "live",
    incarnation,
  };
  const peers = new MeteredPeers(node.peers, options.meter);
  return { node, peers, hostList, host };
}
