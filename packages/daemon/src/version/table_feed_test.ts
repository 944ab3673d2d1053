import assert from "node:assert/strict";
import { test } from "node:test";
import { initialStoredTable } from "@umbermast/table";
import type { Table } from "@umbermast/table";
import type { Log } from "../process/log.ts";
import { SourcedTableFeed } from "./table_feed.ts";
import type { VersionedValue, VersionSource } from "./table_feed.ts";

const DIGEST = "a".repeat(64);

function tableOf(weight: number): Table {
  return {
    classes: [{
      name: "quote",
      tier: 0,
      target: {},
      timeoutMs: 1,
      minimumShare: 0,
    }],
    workspaces: [{
      name: "office",
      keyDigests: [DIGEST],
      defaultClass: "quote",
    }],
    rows: [{ workspace: "office", class: "quote", weight }],
    services: [{
      name: "pool",
      kind: "model",
      models: ["m"],
      checksFencing: false,
      slotsPerRunner: 1,
    }],
  };
}

/** A source that publishes the test's versions, in any order. */
class FakeSource implements VersionSource {
  readonly #listeners = new Set<(value: VersionedValue) => void>();
  #current: VersionedValue | undefined;

  put(version: number, value: unknown): void {
    this.#current = { version, value };
    for (const listener of this.#listeners) listener(this.#current);
  }

  putWeight(version: number, weight: number): void {
    const note = { editId: `e${version}`, editor: "ana", at: 0 };
    this.put(version, initialStoredTable(tableOf(weight), note));
  }

  current(): VersionedValue | undefined {
    return this.#current;
  }

  subscribe(listener: (value: VersionedValue) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

function feedOf(source: VersionSource) {
  const warnings: string[] = [];
  const log: Log = {
    event: () => {},
    decision: () => {},
    warning: (code, { first }) => warnings.push(`${code} ${first}`),
  };
  return { feed: new SourcedTableFeed(source, log), warnings };
}

test("applies a version that the source had before the feed was created", () => {
  const source = new FakeSource();
  source.putWeight(3, 1);
  assert.equal(feedOf(source).feed.current()?.version, 3);
});

test("requests find workspace, class, row and service", () => {
  const source = new FakeSource();
  source.putWeight(1, 5);
  const current = feedOf(source).feed.current();
  assert.equal(current?.workspacesByKeyDigest.get(DIGEST)?.name, "office");
  assert.equal(current?.workspacesByName.get("office")?.defaultClass, "quote");
  assert.equal(current?.classesByName.get("quote")?.tier, 0);
  assert.equal(current?.servicesByName.get("pool")?.kind, "model");
  assert.equal(current?.servicesByModel.get("m")?.name, "pool");
  assert.equal(current?.row("office", "quote")?.weight, 5);
  assert.equal(current?.row("office", "other"), undefined);
});

// A peer that was partitioned returns with an older copy, or a message is
// delayed. Applying it would undo an edit that was reported as accepted.
test("ignores a lower version and a repeated one", () => {
  const source = new FakeSource();
  const { feed } = feedOf(source);
  const seen: number[] = [];
  feed.subscribe(({ version }) => seen.push(version));
  source.putWeight(5, 1);
  source.putWeight(4, 2);
  source.putWeight(5, 3);
  source.putWeight(6, 4);
  assert.deepEqual(seen, [5, 6]);
  assert.equal(feed.current()?.row("office", "quote")?.weight, 4);
});

test("rejects an invalid table with a warning and applies the next valid one", () => {
  const source = new FakeSource();
  const { feed, warnings } = feedOf(source);
  source.putWeight(1, 1);
  source.put(2, { table: { ...tableOf(1), rows: "none" } });
  assert.equal(feed.current()?.version, 1);
  assert.equal(warnings.length, 1);
  assert.match(warnings[0] ?? "", /^table_invalid \/table\/rows: /);
  source.putWeight(3, 2);
  assert.equal(feed.current()?.version, 3);
});

test("a subscription ends", () => {
  const source = new FakeSource();
  const { feed } = feedOf(source);
  const seen: number[] = [];
  const end = feed.subscribe(({ version }) => seen.push(version));
  source.putWeight(1, 1);
  end();
  source.putWeight(2, 1);
  assert.deepEqual(seen, [1]);
});
