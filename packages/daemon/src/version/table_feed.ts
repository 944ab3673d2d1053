/**
 * The current version of the table, with the indexes that requests use.
 *
 * @module
 */
import { parseStoredTable } from "@umbermast/table";
import type {
  Class,
  Finding,
  Row,
  Service,
  Table,
  Workspace,
} from "@umbermast/table";
import type { Log } from "../process/log.ts";

/** One version of the table with its indexes. */
export interface TableVersion {
  /** Version of the stored object. */
  readonly version: number;
  /** Id of the edit that created this version. */
  readonly editId: string;
  readonly table: Table;
  /** By hexadecimal SHA-256 digest of the key. */
  readonly workspacesByKeyDigest: ReadonlyMap<string, Workspace>;
  readonly workspacesByName: ReadonlyMap<string, Workspace>;
  readonly classesByName: ReadonlyMap<string, Class>;
  readonly servicesByName: ReadonlyMap<string, Service>;
  readonly servicesByModel: ReadonlyMap<string, Service>;
  /** Returns the row of a workspace and class, if there is one. */
  row(workspace: string, className: string): Row | undefined;
}

/** The current version at this daemon. */
export interface TableFeed {
  /** Returns the current version; `undefined` until a first one is known. */
  current(): TableVersion | undefined;
  /**
   * Calls the listener after each change of the current version.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (version: TableVersion) => void): () => void;
}

/** A stored value with its version. */
export interface VersionedValue {
  readonly version: number;
  readonly value: unknown;
}

/** A source of table versions: the store, a peer, or a test. */
export interface VersionSource {
  current(): VersionedValue | undefined;
  subscribe(listener: (value: VersionedValue) => void): () => void;
}

/** Builds the indexes of one version. */
export function indexTable(
  table: Table,
  options: { readonly version: number; readonly editId: string },
): TableVersion {
  const rows = new Map<string, Map<string, Row>>();
  for (const row of table.rows) {
    const workspaceRows = rows.get(row.workspace) ?? new Map<string, Row>();
    workspaceRows.set(row.class, row);
    rows.set(row.workspace, workspaceRows);
  }
  return {
    version: options.version,
    editId: options.editId,
    table,
    workspacesByKeyDigest: new Map(
      table.workspaces.flatMap((workspace) =>
        workspace.keyDigests.map((digest) => [digest, workspace] as const)
      ),
    ),
    workspacesByName: byName(table.workspaces),
    classesByName: byName(table.classes),
    servicesByName: byName(table.services),
    servicesByModel: new Map(
      table.services.flatMap((service) =>
        service.models.map((model) => [model, service] as const)
      ),
    ),
    row: (workspace, className) => rows.get(workspace)?.get(className),
  };
}

function byName<Named extends { readonly name: string }>(
  entries: readonly Named[],
): ReadonlyMap<string, Named> {
  return new Map(entries.map((entry) => [entry.name, entry]));
}

/**
 * Applies each higher version of its source.
 *
 * A lower version is ignored here as well as in the source: otherwise an older
 * copy from a peer that was partitioned would undo an accepted edit. A value that
 * is not a valid table is rejected with a warning, and the current version stays.
 */
export class SourcedTableFeed implements TableFeed {
  readonly #log: Log;
  readonly #listeners = new Set<(version: TableVersion) => void>();
  #current: TableVersion | undefined;

  constructor(source: VersionSource, log: Log) {
    this.#log = log;
    source.subscribe((value) => this.#apply(value));
    const first = source.current();
    if (first !== undefined) this.#apply(first);
  }

  current(): TableVersion | undefined {
    return this.#current;
  }

  subscribe(listener: (version: TableVersion) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #apply({ version, value }: VersionedValue): void {
    if (this.#current !== undefined && version <= this.#current.version) return;
    parseStoredTable(value).match(
      ({ table, editId, editor }) => {
        this.#current = indexTable(table, { version, editId });
        this.#log.event("table_in_force", { version, editId, editor });
        for (const listener of this.#listeners) listener(this.#current);
      },
      (findings) => this.#reject(version, findings),
    );
  }

  #reject(version: number, findings: readonly Finding[]): void {
    this.#log.warning("table_invalid", {
      version,
      inForce: this.#current?.version,
      findings: findings.length,
      first: findings.map(({ place, message }) => `${place}: ${message}`)[0],
    });
  }
}
