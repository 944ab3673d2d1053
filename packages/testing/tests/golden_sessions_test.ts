import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import { DONE, streamHead, tokenEvent, wholeAnswer } from "./golden_engine.ts";
import { chatText, record } from "./golden_fixture.ts";
import { answerText, chunk, echoed, requestText } from "./golden_message.ts";
import { assertGolden } from "./golden_text.ts";

test("a whole answer", async (context) => {
  const recorded = await record(context);
  const { model } = recorded;
  model.play = (socket, request) => model.send(socket, wholeAnswer(request));
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { unheard_of: { kept: true } } }));
  await caller.ended();
  assertGolden("whole", [caller.sends, ...model.parts, caller.gets]);
});

test("a streamed answer", async (context) => {
  const recorded = await record(context);
  const { model } = recorded;
  model.play = (socket, request) => {
    model.send(socket, streamHead(request));
    model.send(socket, chunk(tokenEvent("one ")));
    model.send(socket, chunk(tokenEvent("two ")));
    model.send(socket, chunk(tokenEvent("three", true)));
    model.send(socket, chunk(DONE));
    model.send(socket, "0\r\n\r\n");
  };
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.ended();
  assertGolden("streamed", [caller.sends, ...model.parts, caller.gets]);
});

test("a call of a plain service", async (context) => {
  const recorded = await record(context);
  const { plain } = recorded;
  plain.play = (socket, request) =>
    plain.send(
      socket,
      answerText("201 Created", {
        headers: [
          ...echoed(request),
          "content-type: application/json",
          "location: /cards/7",
          "connection: keep-alive, x-hop",
          "x-hop: stays here",
        ],
        body: '{"card":7}',
      }),
    );
  const caller = await recorded.caller();
  const { plainService } = recorded.stack.deployment;
  caller.send(
    requestText(`PUT /services/${plainService}/cards/7?van=2 HTTP/1.1`, {
      key: recorded.key,
      headers: [
        "connection: close, x-private",
        "x-private: stays here",
        "te: trailers",
        "umbermast-class: job-card",
        "umbermast-repeatable: false",
        "content-type: application/json",
      ],
      body: '{"job":"sink"}',
    }),
  );
  await caller.ended();
  assertGolden("plain", [caller.sends, ...plain.parts, caller.gets]);
});

// The caller leaves after the first token. The daemon must tell the engine at
// once, or the engine would go on making tokens that nobody reads.
test("a stream that the caller cancels", async (context) => {
  const recorded = await record(context);
  const { model } = recorded;
  const streams: Socket[] = [];
  model.play = (socket, request) => {
    if (request.startsWith("POST /v1/cancel")) {
      model.send(socket, answerText("200 OK"));
      return;
    }
    streams.push(socket);
    model.send(socket, streamHead(request));
    model.send(socket, chunk(tokenEvent("one ")));
  };
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.got("one ");
  const cancelled = model.arrived();
  caller.leave();
  await cancelled;
  const [stream] = streams;
  if (stream?.closed === false) await once(stream, "close");
  model.note("the connection of the stream is closed");
  assertGolden("cancelled", [
    caller.sends,
    { title: "caller leaves after", text: "one token" },
    ...model.parts,
  ]);
});

// SIGTERM comes in the middle of a stream. The stream goes on to its end, a new
// request on an open connection is told that it was not run, and the process
// exits with 0 once nothing is in flight.
test("a graceful shutdown in the middle of a stream", async (context) => {
  const recorded = await record(context);
  const { model, daemon } = recorded;
  const streams: Socket[] = [];
  model.play = (socket, request) => {
    streams.push(socket);
    model.send(socket, streamHead(request));
    model.send(socket, chunk(tokenEvent("one ")));
  };
  const idle = await recorded.caller();
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.got("one ");
  daemon.child.kill("SIGTERM");
  await daemon.child.logged(/event=phase_entered phase=leaving/);
  idle.send(chatText(recorded, { headers: ["connection: keep-alive"] }));
  await idle.ended();
  const [stream] = streams;
  assert.ok(stream);
  model.send(stream, chunk(tokenEvent("two", true)));
  model.send(stream, chunk(DONE) + "0\r\n\r\n");
  await caller.ended();
  const status = await daemon.child.ended;
  assertGolden("errors/leaving", [idle.sends, idle.gets]);
  assertGolden("shutdown", [
    caller.sends,
    ...model.parts,
    { title: "daemon gets SIGTERM after", text: "the first token" },
    { title: "second caller sends", text: idle.sends.text },
    { title: "second caller gets", text: idle.gets.text },
    caller.gets,
    { title: "daemon exits", text: `status ${status}` },
  ]);
});
