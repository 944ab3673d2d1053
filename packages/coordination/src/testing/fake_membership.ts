/**
 * A membership with a view set by the test.
 *
 * @module
 */
import type { Member, Membership, View } from "../process/membership.ts";

/** Makes a member with default values for the fields not given. */
export function memberNamed(
  name: string,
  fields: Partial<Member> = {},
): Member {
  return {
    name,
    address: "127.0.0.1",
    port: 1,
    region: "region",
    failureDomain: "domain",
    incarnation: 1,
    ...fields,
  };
}

/** {@linkcode Membership} with a settable view. */
export class FakeMembership implements Membership {
  readonly self: Member;
  readonly #listeners = new Set<(view: View) => void>();
  #view: View;

  constructor(self: Member, others: readonly Member[] = []) {
    this.self = self;
    this.#view = viewOf(1, [self, ...others]);
  }

  view(): View {
    return this.#view;
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Replaces the members; all of them are alive. */
  set(members: readonly Member[]): void {
    this.#view = viewOf(this.#view.version + 1, members);
    for (const listener of [...this.#listeners]) listener(this.#view);
  }
}

function viewOf(version: number, members: readonly Member[]): View {
  const sorted = [...members].sort((a, b) => a.name < b.name ? -1 : 1);
  return {
    version,
    members: sorted.map((member) => ({ member, state: "alive" })),
  };
}
