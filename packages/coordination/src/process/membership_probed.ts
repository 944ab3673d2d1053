/**
 * Membership derived from the platform's host list and from probing.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import * as Scope from "effect/Scope";
import type { Clock } from "./clock.ts";
import type { Digest } from "./digest.ts";
import type { HostList } from "./host_list.ts";
import { MemberTable } from "./membership_table.ts";
import type { MembershipEvent } from "./membership_event.ts";
import { Prober } from "./membership_prober.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import type { ProbeTransport } from "./membership_transport.ts";
import type { Member, Membership, View } from "./membership.ts";

/** Dependencies and settings of a {@linkcode ProbedMembership}. */
export interface ProbedMembershipOptions {
  readonly self: Member;
  readonly hostList: HostList;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  /** The record that is sent with each probe and received from members. */
  readonly digest: Digest;
  /** Authentication key shared by all members. */
  readonly key: Uint8Array;
  readonly onEvent: (event: MembershipEvent) => void;
}

/**
 * Membership that discovers members from the platform's host list and detects
 * failures by probing.
 *
 * Listed hosts are initially taken as alive. Members that do not answer probes
 * are first suspected and then removed. Removed members are probed again at
 * intervals and return when they answer. When
 * {@linkcode ProbedMembership.leave} is called, this process announces that it
 * is leaving. When the scope of the membership closes, it announces that it has
 * left.
 */
export class ProbedMembership implements Membership {
  readonly #table: MemberTable;
  readonly #prober: Prober;
  readonly #listeners = new Set<(view: View) => void>();
  #notifiedVersion: number;

  /** @internal Use {@linkcode ProbedMembership.make}. */
  constructor(
    options: ProbedMembershipOptions,
    runtime: {
      readonly random: Random.Random;
      readonly fork: (effect: Effect.Effect<void>) => void;
    },
  ) {
    this.#table = new MemberTable({
      ...options,
      // First called by `applyHostList`, when the prober exists.
      onJoined: (name) => this.#prober.addMember(name),
    });
    this.#prober = new Prober({
      ...options,
      table: this.#table,
      fork: runtime.fork,
      onChange: () => this.#notify(),
    }, runtime.random);
    this.#notifiedVersion = this.#table.view().version;
  }

  /** Joins the fleet until the scope closes. */
  static readonly make = Effect.fnUntraced(function* (
    options: ProbedMembershipOptions,
  ): Effect.fn.Return<ProbedMembership, never, Scope.Scope> {
    const scope = yield* Effect.scope;
    const random = yield* Random.Random;
    const run = Effect.runForkWith(yield* Effect.context());
    const membership = new ProbedMembership(options, {
      random,
      fork: (effect) => void run(effect.pipe(Effect.forkIn(scope))),
    });
    const { hostList } = options;
    membership.#applyHostList(hostList);
    const unsubscribe = hostList.subscribe(() =>
      membership.#applyHostList(hostList)
    );
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        unsubscribe();
        membership.#prober.announceLeft();
      })
    );
    yield* membership.#prober.runProbing().pipe(Effect.forkScoped);
    yield* membership.#prober.runGossipAndExpiry().pipe(Effect.forkScoped);
    return membership;
  });

  get self(): Member {
    return this.#table.self.member;
  }

  view(): View {
    return this.#table.view();
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Announces that this process is leaving, and waits for the first ack, for
   * at most a period. The process continues to answer probes.
   */
  leave(): Effect.Effect<void> {
    return this.#prober.announceLeaving();
  }

  /** Schedules an early probe of a member that may have failed. */
  probeSoon(name: string): void {
    this.#prober.probeSoon(name);
  }

  /**
   * Returns a member with its endpoint, even if it was removed; undefined if
   * there is no record of it.
   */
  member(name: string): Member | undefined {
    return this.#table.get(name)?.member;
  }

  #applyHostList(hostList: HostList): void {
    this.#table.applyHostList(hostList.hosts());
    this.#notify();
  }

  #notify(): void {
    const view = this.#table.view();
    if (view.version === this.#notifiedVersion) return;
    this.#notifiedVersion = view.version;
    for (const listener of [...this.#listeners]) listener(view);
  }
}
