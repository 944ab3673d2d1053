import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import { callBench, jobCard } from "./call_fixture.ts";
import {
  answerOf,
  chatText,
  errorOf,
  exchange,
  openCallerSide,
  requestText,
} from "./caller_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { echo, startRunner } from "./runner_fixture.ts";
import type { Script } from "./runner_fixture.ts";

const BODY = '{"choices":[]}';

/** Returns what a runner does that answers with a status. */
function respondWith(status: string): Script {
  return ({ request, socket }) => {
    const id = echo(request)["umbermast-attempt-id"];
    socket.end(
      `HTTP/1.1 ${status} Odd\r\ncontent-type: application/json\r\n` +
        `umbermast-attempt-id: ${id}\r\n` +
        `content-length: ${BODY.length}\r\n\r\n${BODY}`,
    );
  };
}

/** Sends a request to a daemon whose runners answer with the status. */
async function answerTo(
  t: TestContext,
  text: string,
  status: string,
): Promise<string> {
  const runner = await startRunner("a", respondWith(status));
  const bench = callBench([runner.runner]);
  const side = await openCallerSide({
    play: (call, reply) => bench.callRunner.run(call, reply),
  });
  t.after(async () => {
    await side.close();
    bench.connections.close();
    await runner.close();
  });
  return await exchange(side.port, text);
}

const REQUESTS = {
  "a plain service": requestText("POST /services/yard-app/cards HTTP/1.1"),
  "an engine": chatText(),
  "an engine that streams": chatText({ stream: true }),
} as const;

// Guards against a number that is no HTTP status, or not a final one, at a caller.
for (const [whose, text] of Object.entries(REQUESTS)) {
  for (const status of ["000", "099", "101", "199", "600", "999", "1000"]) {
    test(`status ${status} of ${whose} is no answer`, async (t) => {
      const { code, outcome, ...error } = errorOf(
        await answerTo(t, text, status),
      );
      assert.deepEqual([error.status, code, outcome], [
        502,
        "answer_lost",
        "unknown",
      ]);
    });
  }
}

for (const status of ["200", "299", "304", "404", "500", "599"]) {
  test(`status ${status} of a plain service is passed on`, async (t) => {
    const text = await answerTo(t, REQUESTS["a plain service"], status);
    assert.equal(answerOf(text).status, Number(status));
  });
}

test("an idempotent request is tried elsewhere after status 600", async (t) => {
  const odd = await startRunner("a", respondWith("600"));
  const sound = await startRunner("b", respondWith("200"));
  const bench = callBench([odd.runner, sound.runner]);
  t.after(async () => {
    bench.connections.close();
    await odd.close();
    await sound.close();
  });
  const reply = new RecordingReply();
  const call = jobCard({ repeatable: true });
  await Effect.runPromise(bench.callRunner.run(call, reply));
  assert.deepEqual([reply.head?.status, reply.body], [200, BODY]);
});
