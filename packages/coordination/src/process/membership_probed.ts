/**
 * Membership from the platform's list and from probing.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import * as Scope from "effect/Scope";
import type { Clock } from "./clock.ts";
import type { Digest } from "./digest.ts";
import type { HostList } from "./host_list.ts";
import { MemberBook } from "./membership_book.ts";
import type { MembershipEvent } from "./membership_event.ts";
import { Prober } from "./membership_prober.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import type { ProbeTransport } from "./membership_transport.ts";
import type { Member, Membership, View } from "./membership.ts";

/** What membership needs. */
export interface ProbedMembershipOptions {
  readonly self: Member;
  readonly hostList: HostList;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly clock: Clock;
  readonly digest: Digest;
  /** The key that all members share. */
  readonly key: Uint8Array;
  readonly onEvent: (event: MembershipEvent) => void;
}

/**
 * Membership in which the platform's list says who may exist and probing says
 * who answers.
 *
 * From start to end: the listed hosts are taken as alive; probing suspects and
 * then removes those that do not answer; a removed one is probed again now and
 * then and returns when it answers; this process announces that it leaves, and
 * at the end of its scope that it is gone.
 */
export class ProbedMembership implements Membership {
  readonly #book: MemberBook;
  readonly #prober: Prober;
  readonly #listeners = new Set<(view: View) => void>();
  #told: number;

  /** @internal Use {@linkcode ProbedMembership.make}. */
  constructor(
    options: ProbedMembershipOptions,
    process: {
      readonly random: Random.Random;
      readonly fork: (effect: Effect.Effect<void>) => void;
    },
  ) {
    this.#book = new MemberBook({
      ...options,
      onJoined: (name) => this.#prober.addMember(name),
    });
    this.#prober = new Prober({
      ...options,
      book: this.#book,
      fork: process.fork,
      onChange: () => this.#tell(),
    }, process.random);
    this.#told = this.#book.view().version;
  }

  /** Takes part until the scope closes. */
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
    membership.#list(hostList);
    const unsubscribe = hostList.subscribe(() => membership.#list(hostList));
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        unsubscribe();
        membership.#prober.depart();
      })
    );
    yield* membership.#prober.probeAll().pipe(Effect.forkScoped);
    yield* membership.#prober.keepBook().pipe(Effect.forkScoped);
    return membership;
  });

  get self(): Member {
    return this.#book.self.member;
  }

  view(): View {
    return this.#book.view();
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Announces that this process leaves; it goes on answering. */
  leave(): Effect.Effect<void> {
    return this.#prober.announceLeaving();
  }

  /** Has a member probed soon, since something hints that it is gone. */
  probeSoon(name: string): void {
    this.#prober.probeSoon(name);
  }

  /** Where a member listens, also one that was removed. */
  member(name: string): Member | undefined {
    return this.#book.record(name)?.member;
  }

  #list(hostList: HostList): void {
    this.#book.list(hostList.hosts());
    this.#tell();
  }

  #tell(): void {
    const view = this.#book.view();
    if (view.version === this.#told) return;
    this.#told = view.version;
    for (const listener of [...this.#listeners]) listener(view);
  }
}
