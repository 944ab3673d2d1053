import assert from "node:assert/strict";
import { test } from "node:test";
import {
  emptyDirectory,
  MemoryVersionStore,
  SettableFeed,
  SILENT_LOG,
} from "../../tests/fixtures.ts";
import type { EventLog } from "../process/event_log.ts";
import type { VersionStore } from "../process/version_record.ts";
import { VersionSync } from "./version_sync.ts";

function syncOf(versions: VersionStore, log: EventLog): VersionSync {
  return new VersionSync({
    versions,
    log,
    runners: new SettableFeed([]),
    configurations: new SettableFeed([]),
    daemons: {
      register: () => Promise.resolve(0),
      deregister: () => Promise.resolve(),
      addresses: () => Promise.resolve([]),
    },
    directory: emptyDirectory(),
    configuration: () => undefined,
    retentionMs: () => 60_000,
    agesMs: () => [0],
    fleetSize: () => 1,
    isWatcher: () => true,
    isAlone: () => false,
  });
}

// Guards against an error of a response that nobody foresaw, which ends the process.
test("a record that cannot be read in any way is read again at the next check", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const versions = new MemoryVersionStore();
  let reads = 0;
  versions.read = () => {
    reads += 1;
    return Promise.reject(new RangeError("Store revision out of range"));
  };
  const events: string[] = [];
  const log = { ...SILENT_LOG, event: (name: string) => events.push(name) };
  const sync = syncOf(versions, log);
  sync.start();
  for (let check = 0; check < 3; check++) {
    t.mock.timers.tick(1_000);
    await new Promise((resolve) => setImmediate(resolve));
  }
  sync.stop();
  assert.ok(reads > 1, `${reads} reads`);
  assert.ok(events.includes("versions_not_recorded"));
});
