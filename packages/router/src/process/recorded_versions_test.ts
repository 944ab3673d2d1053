import assert from "node:assert/strict";
import { test } from "node:test";
import {
  MemoryVersionStore,
  SILENT_LOG,
  testEngine,
} from "../../tests/fixtures.ts";
import { RecordedVersions } from "./recorded_versions.ts";
import type { Runner } from "./runner.ts";
import { versionsOf } from "./version_record.ts";

const RETENTION_MS = 60_000;

function runnerOf(softwareVersion: string): Runner {
  return { ...testEngine(`r-${softwareVersion}`), softwareVersion };
}

const [V1, V2] = [runnerOf("v1"), runnerOf("v2")];

/** A store, the list of runners in it, and daemons that record its versions. */
class Fixture {
  readonly store = new MemoryVersionStore();
  now = 0;
  listed: readonly Runner[] = [];
  isFirst = true;
  /** Called when a daemon reads the list before it removes a version. */
  beforeRemoval: () => Promise<void> = () => Promise.resolve();

  daemon(): RecordedVersions {
    return new RecordedVersions(this.store, {
      log: SILENT_LOG,
      now: () => this.now,
      retentionMs: () => RETENTION_MS,
      readListed: async () => {
        await this.beforeRemoval();
        return versionsOf(this.listed);
      },
      isFirst: () => Promise.resolve(this.isFirst),
    });
  }

  /** Lists runners, which the given daemons see. */
  async list(
    runners: readonly Runner[],
    ...daemons: readonly RecordedVersions[]
  ): Promise<void> {
    this.listed = runners;
    for (const daemon of daemons) {
      await daemon.add(versionsOf(runners));
      daemon.observe(versionsOf(runners));
    }
  }

  get versions(): readonly string[] {
    const { entries = [] } = this.store.stored.record ?? {};
    return entries.map(({ value, leaving }) => leaving ? `(${value})` : value)
      .sort();
  }
}

test("a version stays in the record until it has been gone for the retention time", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  await fixture.list([V1, V2], daemon);
  fixture.now = 100_000;
  await fixture.list([V2], daemon);
  fixture.now += RETENTION_MS - 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
  fixture.now += 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v2"]);
});

// Guards against a new daemon that removes what it has never seen.
test("a daemon removes a version that left before its start only after the retention time", async () => {
  const fixture = new Fixture();
  await fixture.list([V1], fixture.daemon());
  fixture.now = 1_000_000;
  const daemon = fixture.daemon();
  await fixture.list([V2], daemon);
  fixture.now += RETENTION_MS - 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
  fixture.now += 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v2"]);
});

// Guards against a daemon that was cut off while a version came and left.
test("a daemon that may have missed changes counts the retention time anew", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  await fixture.list([V2], daemon);
  fixture.now = RETENTION_MS - 1;
  daemon.interrupted();
  fixture.now += RETENTION_MS - 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
});

// Guards against a version that is removed at the moment in which it is listed again.
test("a version that is listed again during its removal stays", async () => {
  const fixture = new Fixture();
  const [daemon, other] = [fixture.daemon(), fixture.daemon()];
  await fixture.list([V1], daemon, other);
  await fixture.list([V2], daemon, other);
  fixture.now = RETENTION_MS;
  fixture.beforeRemoval = () => {
    assert.deepEqual(fixture.versions, ["(v1)", "v2"]);
    fixture.beforeRemoval = () => Promise.resolve();
    return other.add(versionsOf([V1]));
  };
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
});

// Guards against the same where the other daemon read the record before the mark.
test("a version that was listed again before its mark stays", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  await fixture.list([V2], daemon);
  fixture.now = RETENTION_MS;
  fixture.listed = [V1, V2];
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["(v1)", "v2"]);
  await daemon.add(versionsOf([V1]));
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
});

// Guards against a record that daemons of an earlier release have not kept.
test("the first record is complete at once only if no daemon has served before", async () => {
  const fixture = new Fixture();
  fixture.isFirst = false;
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  assert.equal(fixture.store.stored.record?.completeIn, undefined);
  fixture.now = RETENTION_MS;
  await daemon.maintain();
  assert.equal(fixture.store.stored.record?.completeIn, 0);
  const first = new Fixture();
  await first.list([], first.daemon());
  assert.equal(first.store.stored.record?.completeIn, 0);
});

// Guards against a version that has left before its record could be written.
test("a version is recorded later if the store does not answer", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  fixture.store.down = true;
  await assert.rejects(daemon.add(versionsOf([V1, V2])));
  daemon.observe(versionsOf([V1]));
  assert.equal(daemon.isPending, true);
  fixture.store.down = false;
  await daemon.add(versionsOf([V1]));
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
});

// Guards against a record that lacks what a restored store has lost.
test("versions are recorded again, and the record is incomplete, after a restore", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  const copy = fixture.store.stored;
  await fixture.list([V1, V2], daemon);
  fixture.store.restore(copy);
  daemon.restored(1);
  await daemon.add(versionsOf([V1, V2]));
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
  assert.equal(fixture.store.stored.record?.completeIn, 0);
});

// Guards against a restored record that is called complete without a version that has
// left since the copy.
test("a version that left before a restore stays in the record for the retention time", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1], daemon);
  const copy = fixture.store.stored;
  fixture.now = 2 * RETENTION_MS;
  await fixture.list([V1, V2], daemon);
  await fixture.list([V1], daemon);
  fixture.store.restore(copy);
  daemon.restored(1);
  await fixture.list([V1], daemon);
  fixture.now += RETENTION_MS - 1;
  await daemon.maintain();
  assert.deepEqual(fixture.versions, ["v1", "v2"]);
  assert.notEqual(fixture.store.stored.record?.completeIn, 1);
});

// Guards against a record of another program, or none, that stays as it is.
for (
  const [name, record] of Object.entries({
    "is overwritten": { completeIn: 0, entries: [] },
    "is deleted": undefined,
  })
) {
  test(`a record that ${name} is written again, and complete after the retention time`, async () => {
    const fixture = new Fixture();
    const daemon = fixture.daemon();
    await fixture.list([V1, V2], daemon);
    fixture.now = 2 * RETENTION_MS;
    await fixture.list([V1], daemon);
    fixture.store.stored = { revision: 9, record };
    await daemon.read();
    await fixture.list([V1], daemon);
    await daemon.maintain();
    assert.deepEqual(fixture.versions, ["v1", "v2"]);
    assert.equal(fixture.store.stored.record?.completeIn, undefined);
    fixture.now += RETENTION_MS;
    await daemon.maintain();
    assert.equal(fixture.store.stored.record?.completeIn, 0);
  });
}

// Guards against a restore to the time before the first record.
test("a record that a restored store has lost is not complete when it is written again", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  const none = fixture.store.stored;
  await fixture.list([V1], daemon);
  fixture.store.restore(none);
  daemon.restored(1);
  await daemon.add(versionsOf([V1]));
  assert.deepEqual(fixture.versions, ["v1"]);
  assert.equal(fixture.store.stored.record?.completeIn, undefined);
});

// Guards against calls at rest, and against one for each daemon and runner.
test("the store is called only when a version is newly listed", async () => {
  const fixture = new Fixture();
  const daemon = fixture.daemon();
  await fixture.list([V1, V2], daemon);
  assert.deepEqual([fixture.store.reads, fixture.store.writes], [1, 1]);
  for (let checks = 0; checks < 200; checks++) {
    fixture.now += 1_000;
    await fixture.list([V1, V2, runnerOf("v1")], daemon);
    await daemon.maintain();
  }
  assert.deepEqual([fixture.store.reads, fixture.store.writes], [1, 1]);
});

// Guards against odd entries that make the record too large for the store.
test("a very long version takes little room in the record", async () => {
  const fixture = new Fixture();
  await fixture.list([runnerOf("x".repeat(500_000))], fixture.daemon());
  assert.ok(JSON.stringify(fixture.store.stored.record).length < 200);
});
