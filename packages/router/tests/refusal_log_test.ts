import assert from "node:assert/strict";
import { test } from "node:test";
import { formatLine } from "../src/process/log_line.ts";
import type { EventLog } from "../src/process/event_log.ts";
import { sendRequest, startSingleRouteRouter } from "./fixtures.ts";

/** Returns a log that keeps its lines. */
function recordingLog(): EventLog & { readonly lines: string[] } {
  const lines: string[] = [];
  return {
    lines,
    event: (name, fields) => void lines.push(formatLine(name, fields)),
    decision: (name, request, fields) =>
      void lines.push(formatLine(name, { request, ...fields })),
  };
}

// Guards against refusals of which nobody can tell by which version they were made.
test("a refused request has a line with the version, and without its key", async (t) => {
  const log = recordingLog();
  const workspace = { name: "w", keys: ["known-key"], tier: 0 };
  const route = { anonymous: false, pathPrefix: "/a/" };
  const router = await startSingleRouteRouter(
    t,
    route,
    [],
    { version: 7, workspaces: [workspace] },
    { log },
  );
  for (const [path, status] of [["/b", 404], ["/a/x", 401]] as const) {
    const { status: received } = await sendRequest(router, {
      path: `${path}?key=secret-key#secret-key`,
      headers: { "x-id": `try-${status}`, "x-key": "secret-key" },
    });
    assert.equal(received, status);
    const lines = log.lines.filter((line) => line.includes(`try-${status}`));
    assert.equal(lines.length, 1);
    assert.match(
      lines[0]!,
      new RegExp(
        `^event=request_ended .*config=7 status=${status} host=test path=${path} ` +
          "in_force_ms=\\d+ configuration_age_ms=\\d+ runners_age_ms=\\d+ peers=0",
      ),
    );
  }
  assert.ok(!log.lines.join("\n").includes("secret-key"));
  const metrics = await router.metrics.text();
  assert.match(
    metrics,
    /umbermast_data_age_seconds\{source="store_runners"\} \d/,
  );
  assert.doesNotMatch(metrics, /umbermast_data_age_seconds\{source="peer"\}/);
});
