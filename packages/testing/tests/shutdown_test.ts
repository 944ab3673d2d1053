import assert from "node:assert/strict";
import { test } from "node:test";
import { DONE, streamHead, tokenEvent } from "./golden_engine.ts";
import { chatText, record } from "./golden_fixture.ts";
import { chunk } from "./golden_message.ts";

/** More than the system's buffers hold, and less than the daemon's. */
const LARGE_EVENTS = 100;

// SIGTERM comes while an engine is silent in the middle of a stream. The time
// that settings give to requests in flight passes: the caller is told that its
// answer was cut off, and the exit status says so as well.
test("a shutdown ends at its configured limit and says what it cut off", async (context) => {
  const recorded = await record(context, {
    daemonSettings: { shutdown: { graceMs: 50 } },
  });
  const { daemon, model } = recorded;
  model.play = (socket, request) => {
    socket.write(streamHead(request) + chunk(tokenEvent("one ")));
  };
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.got("one ");
  daemon.child.kill("SIGTERM");
  await caller.ended();
  assert.match(caller.gets.text, /"code":"stopped","outcome":"failed"/);
  assert.doesNotMatch(caller.gets.text, /\[DONE\]|\r\n0\r\n\r\n$/);
  assert.equal(await daemon.child.ended, 1);
});

// The answer has ended at the runner, and much of it still waits for a caller
// that reads slowly when SIGTERM comes. The process must not exit before the
// last byte has gone out.
test("a shutdown waits for a caller that still reads its answer", async (context) => {
  const recorded = await record(context, {
    daemonSettings: { limits: { callerBufferBytes: 16_777_216 } },
  });
  const { daemon, model } = recorded;
  const large = "x".repeat(100_000);
  model.play = (socket, request) => {
    socket.write(streamHead(request));
    socket.write(chunk(tokenEvent("one ")));
    for (let at = 0; at < LARGE_EVENTS; at++) {
      socket.write(chunk(tokenEvent(large)));
    }
    socket.write(chunk(tokenEvent("last", true)));
    socket.write(chunk(DONE) + "0\r\n\r\n");
  };
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.got("one ");
  caller.pause();
  daemon.child.kill("SIGTERM");
  await daemon.child.logged(/event=phase_entered phase=stopping/);
  caller.resume();
  await caller.ended();
  assert.match(caller.gets.text, /\[DONE\]/);
  assert.match(caller.gets.text, /\r\n0\r\n\r\n$/);
  assert.equal(await daemon.child.ended, 0);
});
