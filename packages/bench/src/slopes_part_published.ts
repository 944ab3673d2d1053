/**
 * The operators' table in force at members, any number of them in one process.
 *
 * @module
 */
import { type Host, HttpStore, Published } from "@umbermast/coordination";
import {
  parseStoredTable,
  type StoredTable,
  TABLE_KIND,
  TABLE_NAME,
} from "@umbermast/table";
import type { Meter } from "./slopes_meter.ts";
import {
  MeteredStore,
  type RigNode,
  runHere,
  startRigNode,
} from "./slopes_node.ts";
import type { Part } from "./slopes_part.ts";

/** A member to start. */
export interface PublishedMember {
  readonly name: string;
  readonly failureDomain: string;
}

/** What this part is made from. */
export interface PublishedConfig {
  readonly members: readonly PublishedMember[];
  readonly storeUrl: string;
}

/** What this part tells of itself. */
export interface PublishedInfo {
  readonly hosts: readonly Host[];
}

/** What this part can be told. */
export type PublishedCommand =
  | { readonly type: "hosts"; readonly hosts: readonly Host[] }
  /** Starts to follow the table, once the others are known. */
  | { readonly type: "follow" }
  /** Versions in force at this part's members. */
  | { readonly type: "versions" };

/** One member and the table that it has in force. */
interface Follower {
  readonly rig: RigNode;
  readonly table: Published<StoredTable>;
}

class PublishedPart implements Part {
  readonly #followers: readonly Follower[];

  constructor(followers: readonly Follower[]) {
    this.#followers = followers;
  }

  get info(): PublishedInfo {
    return { hosts: this.#followers.map(({ rig }) => rig.host) };
  }

  async call(command: unknown): Promise<unknown> {
    const given = command as PublishedCommand;
    switch (given.type) {
      case "hosts":
        for (const { rig } of this.#followers) {
          rig.hostList.set(given.hosts);
        }
        return undefined;
      case "follow":
        for (const { table } of this.#followers) await runHere(table.start());
        return undefined;
      case "versions":
        return this.#followers.map(({ table }) =>
          table.current()?.version ?? 0
        );
    }
  }
}

function decode(value: unknown): StoredTable {
  const parsed = parseStoredTable(value);
  if (parsed.isOk()) return parsed.value;
  throw new Error(`Cannot read the table: ${JSON.stringify(parsed.error)}`);
}

/** Starts the members of a process. */
export async function makePart(config: unknown, meter: Meter): Promise<Part> {
  const { members, storeUrl } = config as PublishedConfig;
  const followers: Follower[] = [];
  for (const { name, failureDomain } of members) {
    const rig = await startRigNode(name, { meter, failureDomain });
    const store = new MeteredStore(new HttpStore({ url: storeUrl }), meter);
    const table = new Published({
      store,
      peers: rig.peers,
      membership: rig.node.membership,
      kind: TABLE_KIND,
      name: TABLE_NAME,
      decode,
    });
    followers.push({ rig, table });
  }
  return new PublishedPart(followers);
}
