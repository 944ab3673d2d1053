/**
 * A fleet of members on an in-memory network, driven by a test clock.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import * as Clock from "effect/Clock";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Random from "effect/Random";
import * as Scope from "effect/Scope";
import * as TestClock from "effect/testing/TestClock";
import type { Clock as ProcessClock } from "../src/process/clock.ts";
import { NO_DIGEST } from "../src/process/digest.ts";
import type { Digest } from "../src/process/digest.ts";
import type { Endpoint } from "../src/process/endpoint.ts";
import type { Host, HostList } from "../src/process/host_list.ts";
import type { MembershipEvent } from "../src/process/membership_event.ts";
import type { Health } from "../src/process/membership_record.ts";
import { ProbedMembership } from "../src/process/membership_probed.ts";
import { DEFAULT_PROBE_SETTINGS } from "../src/process/membership_settings.ts";
import type { ProbeSettings } from "../src/process/membership_settings.ts";
import type { ProbeTransport } from "../src/process/membership_transport.ts";
import type { Member } from "../src/process/membership.ts";
import { SettableHostList } from "../src/testing/settable_host_list.ts";

export const FLEET_KEY = Buffer.from("a fleet of tests");

const ADDRESS = "10.0.0.1";
const FIRST_PORT = 7000;

/** Whether a datagram between two members is lost. */
export type LossRule = (from: string, to: string) => boolean;

/** Creates a member whose port derives from the digits of its name. */
export function memberNamed(
  name: string,
  overrides: Partial<Member> = {},
): Member {
  return {
    name,
    address: ADDRESS,
    port: FIRST_PORT + Number(name.replace(/\D/g, "")),
    region: "kingston",
    failureDomain: "portmore",
    incarnation: 1,
    ...overrides,
  };
}

export function hostOf(member: Member, overrides: Partial<Host> = {}): Host {
  return { ...member, role: "entry", state: "live", ...overrides };
}

interface Running {
  readonly membership: ProbedMembership;
  readonly scope: Scope.Closeable;
}

export interface FleetOptions {
  readonly settings?: Partial<ProbeSettings>;
  readonly latencyMs?: number;
}

/** Members that share a host list and a network. */
export class Fleet {
  readonly hostList = new SettableHostList();
  readonly events: { readonly at: string; readonly event: MembershipEvent }[] =
    [];
  /** Decides which datagrams are lost; none by default. */
  isLost: LossRule = () => false;
  /** Number of datagrams sent, including lost ones. */
  datagramsSent = 0;
  /** Size of the datagrams sent, including lost ones. */
  bytesSent = 0;
  readonly #options: FleetOptions;
  readonly #clock: ProcessClock;
  readonly #scope: Scope.Scope;
  readonly #running = new Map<string, Running>();
  /** By endpoint. */
  readonly #receivers = new Map<
    string,
    { readonly name: string; readonly receive: (datagram: Uint8Array) => void }
  >();

  constructor(options: FleetOptions, clock: Clock.Clock, scope: Scope.Scope) {
    this.#options = options;
    this.#scope = scope;
    this.#clock = {
      now: () => clock.currentTimeMillisUnsafe(),
      monotonic: () => clock.currentTimeMillisUnsafe(),
    };
  }

  get clock(): ProcessClock {
    return this.#clock;
  }

  /** Sets the host list to the members, as live hosts. */
  setHostList(members: readonly Member[]): void {
    this.hostList.set(members.map((member) => hostOf(member)));
  }

  readonly start = Effect.fnUntraced(
    { self: this },
    function* (
      self: Member,
      overrides: { readonly digest?: Digest; readonly hostList?: HostList } =
        {},
    ): Effect.fn.Return<ProbedMembership> {
      const scope = yield* Scope.fork(this.#scope);
      const membership = yield* ProbedMembership.make({
        self,
        hostList: overrides.hostList ?? this.hostList,
        transport: this.#connect(self),
        settings: { ...DEFAULT_PROBE_SETTINGS, ...this.#options.settings },
        clock: this.#clock,
        digest: overrides.digest ?? NO_DIGEST,
        key: FLEET_KEY,
        onEvent: (event) => this.events.push({ at: self.name, event }),
      }).pipe(Scope.provide(scope));
      this.#running.set(self.name, { membership, scope });
      return membership;
    },
  );

  /** Sets the host list to the members, and then starts each. */
  readonly startAll = Effect.fnUntraced(
    { self: this },
    function* (members: readonly Member[]): Effect.fn.Return<void> {
      this.setHostList(members);
      for (const member of members) yield* this.start(member);
    },
  );

  /** Ends a member without an announcement that it has left. */
  kill(name: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      for (const [key, receiver] of this.#receivers) {
        if (receiver.name === name) this.#receivers.delete(key);
      }
      // Without a receiver at its endpoint, the member cannot send the
      // announcement either.
      return this.stop(name);
    });
  }

  /** Ends a member, which announces that it has left. */
  stop(name: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const running = this.#running.get(name);
      if (running === undefined) return Effect.void;
      this.#running.delete(name);
      return Scope.close(running.scope, Exit.void);
    });
  }

  membershipOf(name: string): ProbedMembership {
    const running = this.#running.get(name);
    if (running === undefined) throw new Error(`Cannot find member "${name}"`);
    return running.membership;
  }

  /**
   * The view of a member as text: the names in it, followed by "=" and the state
   * for members that are not alive.
   */
  viewOf(name: string): string {
    return this.membershipOf(name).view().members
      .map(({ member, state }) =>
        state === "alive" ? member.name : `${member.name}=${state}`
      )
      .join(" ");
  }

  /** The views of all running members. */
  views(): readonly string[] {
    return [...this.#running.keys()].map((name) => this.viewOf(name));
  }

  /** All removals, as "NAME at MEMBER" for each member that recorded one. */
  removals(): readonly string[] {
    return this.#changesTo("removed");
  }

  /** All suspicions, as "NAME at MEMBER" for each member that recorded one. */
  suspicions(): readonly string[] {
    return this.#changesTo("suspect");
  }

  #changesTo(health: Health): readonly string[] {
    return this.events.flatMap(({ at, event }) =>
      event.type === "changed" && event.health === health
        ? [`${event.name} at ${at}`]
        : []
    );
  }

  #connect(self: Member): ProbeTransport {
    const key = endpointKey(self);
    const connected = { name: self.name, receive: (_: Uint8Array) => {} };
    this.#receivers.set(key, connected);
    return {
      listen: (receive) => {
        connected.receive = receive;
      },
      send: (datagram, to) => {
        // Killed, or replaced by a member at the same endpoint.
        if (this.#receivers.get(key) !== connected) return;
        this.#transmit(self.name, endpointKey(to), datagram);
      },
    };
  }

  #transmit(from: string, key: string, datagram: Uint8Array): void {
    this.datagramsSent += 1;
    this.bytesSent += datagram.length;
    const to = this.#receivers.get(key);
    if (to === undefined || this.isLost(from, to.name)) return;
    this.#deliver(key, datagram);
  }

  /** Set by `startDelivery`; until then datagrams are dropped. */
  #deliver: (key: string, datagram: Uint8Array) => void = () => {};

  /**
   * Starts to deliver datagrams, each in a fiber that ends with the test's
   * scope.
   */
  readonly startDelivery = Effect.fnUntraced(
    { self: this },
    function* (): Effect.fn.Return<void> {
      const run = Effect.runForkWith(yield* Effect.context());
      const latencyMs = this.#options.latencyMs ?? 2;
      this.#deliver = (key, datagram) => {
        const deliver = Effect.sync(() =>
          this.#receivers.get(key)?.receive(datagram)
        );
        run(
          Effect.sleep(latencyMs).pipe(
            Effect.andThen(deliver),
            Effect.forkIn(this.#scope),
          ),
        );
      };
    },
  );
}

function endpointKey(endpoint: Endpoint): string {
  return `${endpoint.address}:${endpoint.port}`;
}

/** Runs a test with a fleet on a test clock. */
export function withFleet(
  test: (fleet: Fleet) => Effect.Effect<void>,
  options: FleetOptions & { readonly seed?: number } = {},
): Promise<void> {
  const run = Effect.gen(function* () {
    const clock = yield* Clock.clockWith(Effect.succeed);
    const scope = yield* Effect.scope;
    const fleet = new Fleet(options, clock, scope);
    yield* fleet.startDelivery();
    yield* test(fleet);
  });
  return Effect.runPromise(
    Effect.scoped(run).pipe(
      Random.withSeed(options.seed ?? 1),
      Effect.provide(TestClock.layer()),
    ),
  );
}

/** Advances the test clock. */
export function advanceSeconds(seconds: number): Effect.Effect<void> {
  return TestClock.adjust(seconds * 1000);
}
