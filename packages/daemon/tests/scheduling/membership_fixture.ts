/**
 * Membership that tests set.
 *
 * @module
 */
import type {
  Member,
  Membership,
  MemberState,
  View,
} from "@umbermast/coordination";

export function memberOf(name: string): Member {
  return {
    name,
    address: "127.0.0.1",
    port: 1,
    region: "kingston",
    failureDomain: "portmore",
    incarnation: 1,
  };
}

/** Membership that tests set. */
export class TestMembership implements Membership {
  readonly self: Member;
  #view: View;
  readonly #listeners = new Set<(view: View) => void>();

  constructor(self: string, names: readonly string[]) {
    this.self = memberOf(self);
    this.#view = viewOf(1, names);
  }

  view(): View {
    return this.#view;
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  set(names: readonly string[], state: MemberState = "alive"): void {
    this.#view = viewOf(this.#view.version + 1, names, state);
    for (const listener of this.#listeners) listener(this.#view);
  }
}

function viewOf(
  version: number,
  names: readonly string[],
  state: MemberState = "alive",
): View {
  return {
    version,
    members: names.map((name) => ({ member: memberOf(name), state })),
  };
}
