/**
 * Members and nothing else, any number of them in one process. Each answers on
 * one channel, and can be told to use links to others.
 *
 * @module
 */
import type { Host } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { Meter } from "./slopes_meter.ts";
import { type RigNode, startRigNode } from "./slopes_node.ts";
import type { Part } from "./slopes_part.ts";

const CHANNEL = "ping";

/** What this part is made from. */
export interface MembersConfig {
  readonly names: readonly string[];
}

/** What this part tells of itself. */
export interface MembersInfo {
  readonly hosts: readonly Host[];
}

/** What this part can be told. */
export type MembersCommand =
  | { readonly type: "hosts"; readonly hosts: readonly Host[] }
  /** Sends a small message to each of `names`, once in `everyMs`. */
  | {
    readonly type: "use";
    readonly names: readonly string[];
    readonly everyMs: number;
  }
  | { readonly type: "alive" };

class Members implements Part {
  readonly #nodes: readonly RigNode[];
  #timer: NodeJS.Timeout | undefined;

  constructor(nodes: readonly RigNode[]) {
    this.#nodes = nodes;
  }

  get info(): MembersInfo {
    return { hosts: this.#nodes.map((node) => node.host) };
  }

  call(command: unknown): Promise<unknown> {
    const given = command as MembersCommand;
    switch (given.type) {
      case "hosts":
        for (const { hostList } of this.#nodes) hostList.set(given.hosts);
        return Promise.resolve();
      case "use":
        this.#use(given.names, given.everyMs);
        return Promise.resolve();
      case "alive":
        return Promise.resolve(this.#alive());
    }
  }

  #alive(): readonly number[] {
    return this.#nodes.map(({ node }) =>
      node.membership.view().members
        .filter((status) => status.state === "alive").length
    );
  }

  #use(names: readonly string[], everyMs: number): void {
    clearInterval(this.#timer);
    if (names.length === 0) return;
    let next = 0;
    this.#timer = setInterval(() => {
      const name = names[next % names.length] ?? "";
      next += 1;
      for (const { peers } of this.#nodes) peers.send(name, CHANNEL, next);
    }, everyMs / names.length);
  }
}

/** Starts the members of a process. */
export async function makePart(config: unknown, meter: Meter): Promise<Part> {
  const { names } = config as MembersConfig;
  const nodes: RigNode[] = [];
  for (const name of names) nodes.push(await startRigNode(name, { meter }));
  for (const { peers } of nodes) peers.handle(CHANNEL, () => Effect.void);
  return new Members(nodes);
}
