import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerDirectory } from "./runner_directory.ts";
import type { Runner } from "./runner_directory.ts";

function runner(id: string, draining = false): Runner {
  return {
    id,
    service: "s",
    address: "10.0.0.1",
    port: 1,
    failureDomain: "a",
    slots: 1,
    draining,
    warmUpMs: 0,
  };
}

test("runners that drain or have left get nothing new", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [runner("a"), runner("b")] });
  directory.change(2, [runner("a", true)], ["b"]);
  assert.deepEqual(directory.ready("s"), []);
});

// A runner has left, and a peer that was frozen tells its older list. Taken, it
// would bring the runner back, and requests would go to an address that may
// already belong to another service.
test("an older list does not bring a runner back", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 5, runners: [] });
  assert.equal(
    directory.replace({ revision: 4, runners: [runner("a")] }),
    false,
  );
  directory.change(3, [runner("a")], []);
  assert.deepEqual(directory.ready("s"), []);
});
