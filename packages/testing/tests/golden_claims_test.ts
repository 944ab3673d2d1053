import { test } from "node:test";
import { record } from "./golden_fixture.ts";
import type { Recorded } from "./golden_fixture.ts";
import { answerText, echoed, requestText } from "./golden_message.ts";
import type { Play } from "./golden_runner.ts";
import { assertGolden } from "./golden_text.ts";

/** A job card, which may not be made twice, with an idempotency key. */
function cardText(recorded: Recorded, body: string): string {
  const { plainService } = recorded.stack.deployment;
  return requestText(`POST /services/${plainService}/cards HTTP/1.1`, {
    key: recorded.key,
    headers: [
      "connection: close",
      "umbermast-class: job-card",
      "umbermast-repeatable: false",
      "idempotency-key: card-7",
    ],
    body,
  });
}

function made(recorded: Recorded): Play {
  return (socket, request) =>
    recorded.plain.send(
      socket,
      answerText("201 Created", {
        headers: [...echoed(request), "content-type: application/json"],
        body: '{"card":7}',
      }),
    );
}

/** Sends a card and waits for the end of the answer. */
async function sendCard(recorded: Recorded, body: string) {
  const caller = await recorded.caller();
  caller.send(cardText(recorded, body));
  await caller.ended();
  return caller;
}

test("a second try with the same key gets the first one's answer", async (context) => {
  const recorded = await record(context);
  recorded.plain.play = made(recorded);
  const first = await sendCard(recorded, '{"job":"sink"}');
  const second = await sendCard(recorded, '{"job":"sink"}');
  assertGolden("replayed", [
    first.sends,
    ...recorded.plain.parts,
    first.gets,
    second.sends,
    second.gets,
  ]);
});

test("a key that is used for another request", async (context) => {
  const recorded = await record(context);
  recorded.plain.play = made(recorded);
  const first = await sendCard(recorded, '{"job":"sink"}');
  const second = await sendCard(recorded, '{"job":"hob"}');
  assertGolden("errors/idempotency_key_reused", [
    first.sends,
    ...recorded.plain.parts,
    first.gets,
    second.sends,
    second.gets,
  ]);
});

// The runner takes the card and the connection is cut before its answer. The
// card may have been made, so the second try must not make another: it is told
// that the first may have run.
test("a key whose first try may have run", async (context) => {
  const recorded = await record(context);
  const { plain } = recorded;
  plain.play = (socket) => {
    plain.note("cuts the connection");
    socket.destroy();
  };
  const first = await sendCard(recorded, '{"job":"sink"}');
  const second = await sendCard(recorded, '{"job":"sink"}');
  assertGolden("errors/may_have_run", [
    first.sends,
    ...plain.parts,
    first.gets,
    second.sends,
    second.gets,
  ]);
});

// The platform's store is down. Without a claim a second try through another
// daemon could make the card again, so the request is not run at all.
test("a key that cannot be claimed", async (context) => {
  const recorded = await record(context);
  const { stack, plain } = recorded;
  await stack.control(stack.platform.url, { fault: "down", part: "objects" });
  const caller = await sendCard(recorded, '{"job":"sink"}');
  assertGolden("errors/claims_unavailable", [
    caller.sends,
    ...plain.parts,
    caller.gets,
  ]);
});
