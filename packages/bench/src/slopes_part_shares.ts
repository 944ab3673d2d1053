/**
 * Shares of limits at a member: holds parts of limits, and owns those that
 * hashing names it for.
 *
 * @module
 */
import { type Host, type Share, Shares } from "@umbermast/coordination";
import type { Meter } from "./slopes_meter.ts";
import { type RigNode, runHere, startRigNode } from "./slopes_node.ts";
import type { Part } from "./slopes_part.ts";

const TOTAL = 1_000;
const DEMAND = 500;

/** What this part is made from. */
export interface SharesConfig {
  readonly name: string;
}

/** What this part tells of itself. */
export interface SharesInfo {
  readonly host: Host;
}

/** What this part can be told. */
export type SharesCommand =
  | { readonly type: "hosts"; readonly hosts: readonly Host[] }
  /** Holds one part of each of these limits, and of no others. */
  | {
    readonly type: "hold";
    readonly limits: readonly string[];
    readonly holders: number;
  };

class SharesPart implements Part {
  readonly #rig: RigNode;
  readonly #shares: Shares;
  #held: readonly Share[] = [];

  constructor(rig: RigNode, shares: Shares) {
    this.#rig = rig;
    this.#shares = shares;
  }

  get info(): SharesInfo {
    return { host: this.#rig.host };
  }

  call(command: unknown): Promise<unknown> {
    const given = command as SharesCommand;
    if (given.type === "hosts") this.#rig.hostList.set(given.hosts);
    else this.#hold(given.limits, given.holders);
    return Promise.resolve();
  }

  #hold(limits: readonly string[], holders: number): void {
    for (const share of this.#held) share.close();
    const holder = this.#rig.host.name;
    this.#held = limits.map((limit) =>
      this.#shares.hold({ limit, holder, total: TOTAL, holders })
    );
    for (const share of this.#held) share.demand(DEMAND);
  }
}

/** Starts a member with shares. */
export async function makePart(config: unknown, meter: Meter): Promise<Part> {
  const { name } = config as SharesConfig;
  const rig = await startRigNode(name, { meter });
  const shares = new Shares({
    peers: rig.peers,
    membership: rig.node.membership,
  });
  await runHere(shares.start());
  return new SharesPart(rig, shares);
}
