import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { runnerResponse, startFakeRunner } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Longer than any test runs. */
const LONG_PAUSE_MS = 600_000;
const REQUESTS = 40;

/** Starts a runner that refuses requests as long as `pauseMs` is set. */
async function startRefusingRunner(
  t: TestContext,
  name: string,
): Promise<FakeRunner & { pauseMs: number | undefined }> {
  const fake = await startFakeRunner(t, name, (socket, _, id) => {
    if (refusing.pauseMs === undefined) {
      return void socket.write(runnerResponse(id, "done"));
    }
    const status = "503 Service Unavailable";
    const headers = `X-Not-Run: 1\r\nX-Pause-Ms: ${refusing.pauseMs}\r\n`;
    socket.write(runnerResponse(id, "", { status, headers }));
  });
  const refusing = Object.assign(fake, {
    pauseMs: LONG_PAUSE_MS as number | undefined,
  });
  return refusing;
}

// Guards against a refusing runner that looks idle and attracts requests.
test("a runner that asks for a pause gets no request before it ends", async (t) => {
  const linked = new LinkedRouters(t);
  const refusing = await startRefusingRunner(t, "refusing");
  const serving = await startFakeRunner(t, "serving", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  linked.runners.set([refusing.runner, serving.runner]);
  await linked.add();
  while (refusing.requests.length === 0) await linked.send("work");
  const refused = refusing.requests.length;
  for (let sent = 0; sent < REQUESTS; sent++) await linked.send("work");
  const arrivals = refusing.requests.length - refused;
  assert.equal(arrivals, 0, `${arrivals} of ${REQUESTS} requests`);
});
