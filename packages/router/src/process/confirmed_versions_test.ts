import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { testEngine } from "../../tests/fixtures.ts";
import { ConfirmedVersions } from "./confirmed_versions.ts";
import type { VersionSnapshot } from "./confirmed_versions.ts";
import { storeRevision } from "./store_revision.ts";

const MAX_MS = 200;
const ORIGIN = { route: "route", service: "llm" };

function snapshotOf(options: {
  readonly recorded?: readonly string[];
  readonly listed?: readonly string[];
  readonly completeIn?: number | undefined;
  readonly epoch?: number;
  /** Services to which the route has led. */
  readonly services?: readonly string[];
}): VersionSnapshot {
  const { recorded = ["v1"], listed = ["v1"], epoch = 0 } = options;
  const { services = ["llm"] } = options;
  const completeIn = "completeIn" in options ? options.completeIn : 0;
  const versions = recorded.map((value) => ({
    subject: "service" as const,
    name: "llm",
    value,
  }));
  const destinations = services.map((value) => ({
    subject: "route" as const,
    name: "route",
    value,
  }));
  return {
    stored: {
      revision: storeRevision(epoch, 7),
      record: { completeIn, entries: [...versions, ...destinations] },
    },
    runners: listed.map((softwareVersion) => ({
      ...testEngine(`r-${softwareVersion}`),
      softwareVersion,
    })),
  };
}

async function confirm(snapshot: VersionSnapshot): Promise<string> {
  const versions = new ConfirmedVersions(() => Promise.resolve(snapshot), {
    intervalMs: () => 0,
  });
  const confirmation = await versions.confirm(ORIGIN, MAX_MS);
  return confirmation.kind === "only"
    ? confirmation.software
    : confirmation.reason;
}

test("a service has one version if the record and the list hold only that", async () => {
  assert.equal(await confirm(snapshotOf({})), "v1");
  assert.equal(
    await confirm(snapshotOf({ recorded: ["v1", "v2"] })),
    "several_versions",
  );
  assert.equal(
    await confirm(snapshotOf({ listed: ["v1", "v2"] })),
    "several_versions",
  );
  assert.equal(
    await confirm(snapshotOf({ listed: ["v2"] })),
    "several_versions",
  );
  assert.equal(await confirm(snapshotOf({ listed: [] })), "no_version");
  assert.equal(
    await confirm(snapshotOf({ recorded: [""], listed: [""] })),
    "no_version",
  );
});

// Guards against a stream that goes on at the service to which an edit has moved its route.
test("a route that has led to another service confirms nothing", async () => {
  const services = ["llm", "other"];
  assert.equal(await confirm(snapshotOf({ services })), "several_services");
  assert.equal(
    await confirm(snapshotOf({ services: ["other"] })),
    "several_services",
  );
  assert.equal(
    await confirm(snapshotOf({ services: [] })),
    "record_incomplete",
  );
});

// Guards against a record that nobody has kept for long enough, or that was restored.
test("an incomplete record confirms nothing", async () => {
  assert.equal(
    await confirm(snapshotOf({ completeIn: undefined })),
    "record_incomplete",
  );
  assert.equal(await confirm(snapshotOf({ epoch: 1 })), "record_incomplete");
});

// Guards against an answer from before the question.
test("a question is answered by a read that begins after it, one for all that wait", async () => {
  const reads: number[] = [];
  const versions = new ConfirmedVersions(async () => {
    reads.push(performance.now());
    await pause(20);
    return snapshotOf({});
  }, { intervalMs: () => 50 });
  const asked: number[] = [];
  const answers = await Promise.all(
    Array.from({ length: 200 }, async (_, index) => {
      await pause(index % 10);
      asked.push(performance.now());
      const confirmation = await versions.confirm(ORIGIN, 10 * MAX_MS);
      assert.equal(confirmation.kind, "only");
      return performance.now();
    }),
  );
  assert.equal(answers.length, 200);
  assert.equal(reads.length, 2);
  assert.ok(reads[1]! > Math.max(...asked));
});

// Guards against a daemon that takes a failed call for a store without versions.
test("a store whose calls fail confirms nothing", async () => {
  const versions = new ConfirmedVersions(
    () => Promise.reject(new Error("down")),
    { intervalMs: () => 0 },
  );
  const confirmation = await versions.confirm(ORIGIN, MAX_MS);
  assert.deepEqual(confirmation, {
    kind: "unconfirmed",
    reason: "store_unreachable",
  });
});

// Guards against callers that wait for a store that does not answer.
test("a store that is silent confirms nothing, in time", async () => {
  const versions = new ConfirmedVersions(() => new Promise(() => {}), {
    intervalMs: () => 0,
  });
  const confirmation = await versions.confirm(ORIGIN, 30);
  assert.deepEqual(confirmation, {
    kind: "unconfirmed",
    reason: "store_late",
  });
});
