/**
 * Members that make claims, linked for real, before a platform in a process of
 * its own.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import {
  type ClaimSettings,
  ClaimsInStore,
  type CoordinationNode,
  type Host,
  HttpStore,
  startNode,
} from "@umbermast/coordination";
import { SettableHostList } from "@umbermast/coordination/testing";
import {
  type Calls,
  type Fault,
  fetchJson,
  type StandInChild,
  startStandIn,
} from "@umbermast/testing";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";

const KEY = "a key for measurements only";
const ADDRESS = "127.0.0.1";
const STOP_GRACE_MS = 2_000;
const LINK_POLL_MS = 20;

interface ClaimMember {
  readonly node: CoordinationNode;
  readonly claims: ClaimsInStore;
  readonly store: HttpStore;
}

/** Members of one deployment. */
export class ClaimFleet {
  readonly #platform: StandInChild;
  readonly #settings: Partial<ClaimSettings>;
  readonly #scope = Scope.makeUnsafe();
  readonly #hostList = new SettableHostList();
  readonly #members: ClaimMember[] = [];
  #next = 0;

  private constructor(
    platform: StandInChild,
    settings: Partial<ClaimSettings>,
  ) {
    this.#platform = platform;
    this.#settings = settings;
  }

  /** Starts a platform and members, and waits until all know each other. */
  static async start(
    members: number,
    settings: Partial<ClaimSettings>,
  ): Promise<ClaimFleet> {
    const platform = await startStandIn("platform", {});
    const fleet = new ClaimFleet(platform, settings);
    try {
      for (let index = 0; index < members; index += 1) {
        await fleet.#join(`member-${index}`);
      }
      await fleet.#meet();
      return fleet;
    } catch (error) {
      await fleet.close();
      throw error;
    }
  }

  /** The members in turn, as behind a balancer. */
  next(): ClaimsInStore {
    const member = this.#members[this.#next % this.#members.length];
    if (member === undefined) throw new Error("Cannot claim: no members");
    this.#next += 1;
    return member.claims;
  }

  /** Orders a fault of the platform. */
  async order(fault: Fault): Promise<void> {
    const url = `${this.#platform.url}/control`;
    await fetchJson(url, { method: "POST", body: fault });
  }

  /** Calls that the platform has counted. */
  async calls(): Promise<Calls> {
    const { body } = await fetchJson(`${this.#platform.url}/calls`);
    return body as Calls;
  }

  /** Bytes of values that the members have written to the store. */
  get writtenBytes(): number {
    return this.#members.reduce(
      (total, { store }) => total + store.counters.writtenBytes,
      0,
    );
  }

  /** Ends when every settlement is recorded. */
  async drain(): Promise<void> {
    const drains = this.#members.map(({ claims }) => claims.drain());
    await Effect.runPromise(Effect.all(drains, { concurrency: "unbounded" }));
  }

  async close(): Promise<void> {
    await Effect.runPromise(Scope.close(this.#scope, Exit.void));
    for (const { store } of this.#members) store.close();
    await this.#platform.stop(STOP_GRACE_MS);
  }

  async #join(name: string): Promise<void> {
    const node = await this.#run(startNode({
      name,
      address: ADDRESS,
      port: 0,
      region: "region",
      failureDomain: name,
      key: KEY,
      hostList: this.#hostList,
    }));
    const store = new HttpStore({ url: this.#platform.url });
    const { peers, membership } = node;
    const claims = new ClaimsInStore({
      store,
      peers,
      membership,
      settings: this.#settings,
    });
    await this.#run(claims.start());
    this.#members.push({ node, claims, store });
  }

  async #meet(): Promise<void> {
    const hosts = this.#members.map(({ node }): Host => ({
      ...node.membership.self,
      role: "entry",
      state: "live",
    }));
    this.#hostList.set(hosts);
    const met = () =>
      this.#members.every(({ node }) =>
        node.membership.view().members.length === hosts.length
      );
    while (!met()) {
      await pause(LINK_POLL_MS);
    }
  }

  #run<A, E>(effect: Effect.Effect<A, E, Scope.Scope>): Promise<A> {
    return Effect.runPromise(Scope.provide(effect, this.#scope));
  }
}
