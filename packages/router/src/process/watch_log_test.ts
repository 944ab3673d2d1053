import assert from "node:assert/strict";
import { test } from "node:test";
import { WatchLog } from "./watch_log.ts";

// Guards against a line at each check whether the daemon has to watch.
test("only beginnings and ends of watches are logged", () => {
  const lines: string[] = [];
  const watchLog = new WatchLog({
    event: (name, { reason }) => void lines.push(`${name} ${reason}`),
    decision() {},
  }, "store_runners");
  const reasons = [undefined, "alone", "alone", "rank", undefined, undefined];
  for (const reason of reasons) {
    watchLog.record(reason as "alone" | "rank" | undefined, 0);
  }
  assert.deepEqual(lines, [
    "store_watch_started alone",
    "store_watch_stopped rank",
  ]);
});
