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

/** One entry that differs between two tables. */
export interface Change {
  readonly section: Section;
  /** Name of the entry; `workspace/class` for a row. */
  readonly key: string;
  /** Absent if the entry is added. */
  readonly before?: Entry;
  /** Absent if the entry is removed. */
  readonly after?: Entry;
}

/** All sections, in display order. */
export const SECTIONS: readonly Section[] = [
  "classes",
  "workspaces",
  "rows",
  "services",
];

/** Returns the key of an entry, which is unique within its section. */
export function keyOf(section: Section, entry: Entry): string {
  if (section !== "rows") return (entry as Class).name;
  const row = entry as Row;
  return `${row.workspace}/${row.class}`;
}

/** Whether two entries are equal, regardless of the order of their fields. */
export function entriesEqual(
  left: Entry | undefined,
  right: Entry | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  return canonicalJson(left) === canonicalJson(right);
}

/**
 * Returns the changes that turn `before` into `after`, ignoring the order of
 * entries.
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
  const oldEntries = entriesByKey(section, before);
  const newEntries = entriesByKey(section, after);
  const changes: Change[] = [];
  for (const key of new Set([...oldEntries.keys(), ...newEntries.keys()])) {
    const change = changeOf(
      section,
      key,
      oldEntries.get(key),
      newEntries.get(key),
    );
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

/** Returns the entries of a section by key, in the order of the table. */
export function entriesByKey(
  section: Section,
  table: Table,
): ReadonlyMap<string, Entry> {
  const entries: readonly Entry[] = table[section];
  return new Map(entries.map((entry) => [keyOf(section, entry), entry]));
}

function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, member) => {
    if (
      typeof member !== "object" || member === null || Array.isArray(member)
    ) {
      return member;
    }
    return Object.fromEntries(
      Object.entries(member).sort(([left], [right]) => left < right ? -1 : 1),
    );
  });
}
