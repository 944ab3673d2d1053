import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { until } from "../../../tests/scheduling/daemons_fixture.ts";
import { runnerOf, SERVICE } from "../../../tests/scheduling/runner_fixture.ts";
import { RunnerDirectory } from "../runner_directory.ts";
import { LoadReports, parseReport } from "./load_reports.ts";

const REPORT = { running: 3, waiting: 1, slots: 16, stepMs: 4.5 };

test("parses a report and replaces missing or invalid values by defaults", () => {
  const report = parseReport('{"running":3,"waiting":-1,"stepMs":"x"}', 7);
  assert.deepEqual(report, {
    running: 3,
    waiting: 0,
    slots: 0,
    stepMs: 0,
    leaving: false,
    receivedAt: 7,
  });
  for (const body of ["", "null", "[", '"text"']) {
    assert.equal(parseReport(body, 7), undefined);
  }
});

// Guards against a report that is cut by the end of its connection.
test("no part of a report is one", () => {
  const whole = JSON.stringify(REPORT);
  for (let bytes = 0; bytes < whole.length; bytes++) {
    assert.equal(parseReport(whole.slice(0, bytes), 7), undefined);
  }
  assert.equal(parseReport(whole, 7)?.running, REPORT.running);
});

test("polls the runners of watched services only", { timeout: 30_000 }, () => {
  // Polling all runners from all daemons would cost each runner hundreds of polls
  // a second in a full-size deployment; only a service's broker needs the reports.
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    paths.push(request.url ?? "");
    response.end(JSON.stringify(REPORT));
  });
  const program = Effect.gen(function* () {
    yield* Effect.promise(() =>
      new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve))
    );
    const { port } = server.address() as AddressInfo;
    const directory = new RunnerDirectory();
    directory.replace([
      runnerOf("watched", { port }),
      runnerOf("other", { port, service: "yard-app" }),
    ]);
    const reports = new LoadReports({ clock: SYSTEM_CLOCK, intervalMs: 5 });
    yield* reports.poll(directory);
    reports.watch(SERVICE);
    yield* until(() => paths.length >= 3);
    assert.equal(reports.get("watched")?.running, REPORT.running);
    assert.equal(reports.get("other"), undefined);
    reports.stopWatching(SERVICE);
    assert.equal(reports.get("watched"), undefined);
  });
  return Effect.runPromise(Effect.scoped(program)).finally(() => {
    server.closeAllConnections();
    server.close();
  });
});
