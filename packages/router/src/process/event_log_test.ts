import assert from "node:assert/strict";
import { test } from "node:test";
import { BufferedLog } from "./event_log.ts";

/** A reader that takes lines only when the test calls `read`. */
function slowReader() {
  const written: string[] = [];
  let done = () => {};
  const sink = (text: string, onDone: () => void) => {
    written.push(text);
    done = onDone;
  };
  return { written, sink, read: () => done() };
}

test("an event is written as one line with its time", () => {
  const { written, sink } = slowReader();
  const log = new BufferedLog(sink, () => 7);
  log.event("started", { name: "host-1" });
  log.flush();
  assert.deepEqual(written, ["event=started name=host-1 time_ms=7\n"]);
});

// Guards against a log reader that stops reading. If the daemon waited for it,
// requests would stall; if it kept every line, it would run out of memory.
test("a stalled reader blocks one write; further lines are bounded and counted", () => {
  const { written, sink, read } = slowReader();
  const log = new BufferedLog(sink, () => 0);
  log.event("first", {});
  log.flush();
  for (let i = 0; i < 10_000; i += 1) {
    log.event("filler", { text: "x".repeat(100) });
    log.flush();
  }
  assert.equal(written.length, 1);
  read();
  log.flush();
  assert.equal(written.length, 2);
  assert.ok(written[1]!.length < 300 * 1024);
  assert.match(written[1]!, /event=lines_dropped count=\d+/);
});

test("decisions beyond the limit are dropped and counted; events are written", () => {
  const { written, sink } = slowReader();
  const log = new BufferedLog(sink, () => 0);
  for (let i = 0; i < 500; i += 1) log.decision("chosen", `r-${i}`, {});
  log.event("stopped", {});
  log.flush();
  assert.match(written[0]!, /event=stopped/);
  assert.match(written[0]!, /event=lines_dropped count=300/);
});
