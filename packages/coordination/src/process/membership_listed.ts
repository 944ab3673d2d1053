/**
 * Membership from the platform's host list alone.
 *
 * @module
 */
import type { Host, HostList } from "./host_list.ts";
import type { Member, Membership, MemberStatus, View } from "./membership.ts";

function statusOf(host: Host): MemberStatus {
  const { name, address, port, region, failureDomain, incarnation } = host;
  return {
    member: { name, address, port, region, failureDomain, incarnation },
    state: host.state === "leaving" ? "leaving" : "alive",
  };
}

/** Believes the list, and asks nobody. */
export class ListedMembership implements Membership {
  readonly self: Member;
  readonly #listeners = new Set<(view: View) => void>();
  #view: View;

  constructor(self: Member, list: HostList) {
    this.self = self;
    this.#view = this.#viewOf(list.hosts(), 1);
    list.subscribe((hosts) => {
      this.#view = this.#viewOf(hosts, this.#view.version + 1);
      for (const listener of [...this.#listeners]) listener(this.#view);
    });
  }

  view(): View {
    return this.#view;
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #viewOf(hosts: readonly Host[], version: number): View {
    const others = hosts
      .filter((host) => host.role === "entry" && host.name !== this.self.name)
      .map(statusOf);
    const self: MemberStatus = { member: this.self, state: "alive" };
    const members = [...others, self].sort((a, b) =>
      a.member.name < b.member.name ? -1 : 1
    );
    return { version, members };
  }
}
