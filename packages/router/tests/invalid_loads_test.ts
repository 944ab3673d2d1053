import assert from "node:assert/strict";
import { test } from "node:test";
import { runnerResponse, sendRequest, startFakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Time in ms in which a link that ends at each update ends several times. */
const WATCHED_MS = 2_000;

// Guards against one caller that cuts a daemon off from all others, and so from the
// versions that they have.
for (const counts of [["1e308", "1e308"], ["-500"], ["0.3", "4.8", "5.8"]]) {
  test(`links stay up when callers state ${counts.join(" and ")} tokens`, async (t) => {
    const routers = new LinkedRouters(t);
    const { runner } = await startFakeRunner(t, "one", (socket, _, id) => {
      setTimeout(() => socket.write(runnerResponse(id, "done")), 500);
    });
    routers.runners.set([runner]);
    const sender = await routers.add();
    const receiver = await routers.add();
    const events: string[] = [];
    t.mock.method(receiver.log, "event", (name: string) => events.push(name));
    const responses = await Promise.all(
      counts.map((tokens, index) =>
        sendRequest(sender, {
          method: "POST",
          path: "/",
          body: "x",
          headers: { "x-id": `t-${index}`, "x-tokens": tokens },
        })
      ),
    );
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    assert.ok(responses.every(({ status }) => status === 200));
    assert.ok(!events.includes("peer_message_invalid"), events.join());
    const invalid = events.filter((name) => name === "peer_entry_invalid");
    assert.equal(invalid.length, 1);
    // What the sender stated last was invalid; what it stated before is over.
    assert.equal(receiver.loads.of(runner.id).total.inFlight, 0);
  });
}
