/**
 * Differences between two tables, entry by entry.
 *
 * @module
 */
import type { Class, Row, Service, Table, Workspace } from "./table.ts";

/** Entries of each section of the table. */
export interface SectionEntries {
  readonly classes: Class;
  readonly workspaces: Workspace;
  readonly rows: Row;
  readonly services: Service;
}

/** A section of the table. */
export type Section = keyof SectionEntries;

/** Any entry of the table. */
export type Entry = SectionEntries[Section];

/** One entry that differs. */
export interface Change {
  readonly section: Section;
  /** Name of the entry; `workspace/class` for a row. */
  readonly key: string;
  /** Absent when the entry is added. */
  readonly before?: Entry;
  /** Absent when the entry is removed. */
  readonly after?: Entry;
}

/** The sections in the order in which they are shown. */
export const SECTIONS: readonly Section[] = [
  "classes",
  "workspaces",
  "rows",
  "services",
];

/** The key of an entry, unique within its section. */
export function keyOf(section: Section, entry: Entry): string {
  if (section !== "rows") return (entry as Class).name;
  const row = entry as Row;
  return `${row.workspace}/${row.class}`;
}

/** Whether two entries say the same, whatever the order of their fields. */
export function entriesEqual(
  one: Entry | undefined,
  other: Entry | undefined,
): boolean {
  if (one === undefined || other === undefined) return one === other;
  return canonical(one) === canonical(other);
}

/**
 * What must change in `before` to give `after`. The order of entries is not a
 * difference.
 *
 * @example
 * ```ts
 * for (const { section, key } of diffTables(before, after)) {
 *   console.log(`${section} ${key}`);
 * }
 * ```
 */
export function diffTables(before: Table, after: Table): readonly Change[] {
  return SECTIONS.flatMap((section) => diffSection(section, before, after));
}

function diffSection(
  section: Section,
  before: Table,
  after: Table,
): readonly Change[] {
  const old = entriesByKey(section, before);
  const young = entriesByKey(section, after);
  const changes: Change[] = [];
  for (const key of new Set([...old.keys(), ...young.keys()])) {
    const change = changeOf(section, key, old.get(key), young.get(key));
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

function changeOf(
  section: Section,
  key: string,
  before: Entry | undefined,
  after: Entry | undefined,
): Change | undefined {
  if (entriesEqual(before, after)) return undefined;
  return {
    section,
    key,
    ...(before === undefined ? {} : { before }),
    ...(after === undefined ? {} : { after }),
  };
}

/** The entries of a section by key, in their order. */
export function entriesByKey(
  section: Section,
  table: Table,
): ReadonlyMap<string, Entry> {
  const entries: readonly Entry[] = table[section];
  return new Map(entries.map((entry) => [keyOf(section, entry), entry]));
}

function canonical(value: unknown): string {
  return JSON.stringify(value, (_key, part) => {
    if (typeof part !== "object" || part === null || Array.isArray(part)) {
      return part;
    }
    return Object.fromEntries(
      Object.entries(part).sort(([one], [other]) => one < other ? -1 : 1),
    );
  });
}
