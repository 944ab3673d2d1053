import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { startRunner } from "../../../tests/runner_fixture.ts";
import { HttpEngineReports } from "./placement_reports.ts";

const TEXT = "HTTP/1.1 200 OK\r\n\r\n" +
  JSON.stringify({ models: ["a", "b"], running: 12, waiting: 3 });

// Guards against a report that is cut by the end of its connection.
for (const by of ["reset", "close"] as const) {
  test(`a report cut at any byte by ${by} is none`, async (t) => {
    let length = 0;
    const { runner, close } = await startRunner("a", ({ socket }) => {
      socket.write(TEXT.slice(0, length));
      if (by === "reset") socket.resetAndDestroy();
      else socket.end();
    });
    t.after(close);
    const reports = new HttpEngineReports();
    for (length = 0; length < TEXT.length; length++) {
      const report = await Effect.runPromise(reports.read(runner));
      assert.equal(report, undefined, `cut after ${length} bytes`);
    }
  });
}

test("a report whose connection is closed in order is read", async (t) => {
  const { runner, close } = await startRunner("a", ({ socket }) => {
    socket.end(TEXT);
  });
  t.after(close);
  const report = await Effect.runPromise(new HttpEngineReports().read(runner));
  assert.deepEqual(report, {
    models: ["a", "b"],
    requests: 15,
    leaving: false,
  });
});
