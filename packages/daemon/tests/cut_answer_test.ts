import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import type { Call } from "../src/request/call.ts";
import { callBench, callOf, jobCard } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { echo, runnerAt, startRunner } from "./runner_fixture.ts";
import type { Received } from "./runner_fixture.ts";
import { DONE, tokenEvents } from "./stream_fixture.ts";

/** Requests that each case sends, as timing may hide the fault in some. */
const TRIES = 10;
const OF = 5;
const WHOLE_STREAM = tokenEvents({ from: 1, to: OF, of: OF }) + DONE;

/** A body without a length, and how its connection ends right behind it. */
interface Ending {
  readonly type: string;
  /** Value of `transfer-encoding`, if it has one. */
  readonly coding?: string;
  readonly body: string;
  readonly by: "reset" | "close";
}

/** Returns the head of a response without a length. */
function headOf(attemptId: string, { type, coding }: Ending): string {
  const framing = coding === undefined
    ? ""
    : `transfer-encoding: ${coding}\r\n`;
  return `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\n` +
    `umbermast-attempt-id: ${attemptId}\r\n${framing}\r\n`;
}

function send(socket: Socket, request: Received, ending: Ending): void {
  const id = echo(request)["umbermast-attempt-id"] ?? "";
  socket.write(headOf(id, ending) + ending.body);
  // In the same turn of the event loop: both arrive before the daemon polls again.
  if (ending.by === "reset") socket.resetAndDestroy();
  else socket.end();
}

/** Sends calls to runners that all end so; returns what callers got. */
async function answers(
  t: TestContext,
  call: Call,
  ending: Ending,
): Promise<readonly RecordingReply[]> {
  const runners = await Promise.all(
    ["a", "b"].map((name) =>
      startRunner(name, ({ request, socket }) => {
        const offset = Number(request.headers["umbermast-resume-offset"] ?? 0);
        if (offset === 0) return send(socket, request, ending);
        const body = tokenEvents({ from: offset + 1, to: OF, of: OF }) + DONE;
        send(socket, request, { ...ending, body, by: "close" });
      })
    ),
  );
  const bench = callBench(runners.map(({ runner }) => runner));
  t.after(async () => {
    bench.connections.close();
    for (const runner of runners) await runner.close();
  });
  const replies: RecordingReply[] = [];
  for (let i = 0; i < TRIES; i++) {
    const reply = new RecordingReply();
    await Effect.runPromise(bench.callRunner.run(call, reply));
    replies.push(reply);
  }
  return replies;
}

const NUMBER = { type: "application/json", body: "12" } as const;
const LINE = { type: "application/x-ndjson", body: '{"part":1}\n' } as const;
const PART_OF_STREAM = {
  type: "text/event-stream",
  body: tokenEvents({ from: 1, to: 2, of: OF }),
} as const;

const ONCE = jobCard();
const REPEATED = jobCard({ repeatable: true });
const ENGINE = callOf({ streamed: false });

/** A test's name, the call, and the part of an answer that parses by itself. */
type Part = readonly [string, Call, Omit<Ending, "by">];

const RESET: readonly Part[] = [
  ["a reset part of a number is not whole", ONCE, NUMBER],
  ["a reset part of an idempotent number is not whole", REPEATED, NUMBER],
  ["a reset part of JSON lines is not whole", ONCE, LINE],
  ["a reset part of idempotent JSON lines is not whole", REPEATED, LINE],
  ["a reset part of an engine's JSON lines is not whole", ENGINE, LINE],
  [
    "a reset part of a stream is not whole",
    callOf({ repeatable: false }),
    PART_OF_STREAM,
  ],
];

// Guards against a reset right behind a part, of which Node shows an ordinary end.
for (const [name, call, part] of RESET) {
  test(name, async (t) => {
    const replies = await answers(t, call, { ...part, by: "reset" });
    assert.deepEqual(replies.filter(({ ended }) => ended), []);
    for (const { problem, broken } of replies) {
      assert.equal((problem ?? broken)?.code, "answer_broken");
    }
  });
}

const CUT: readonly Part[] = [
  ["a closed part of a number is not whole", ONCE, NUMBER],
  ["a closed part of an idempotent number is not whole", REPEATED, NUMBER],
  ["a closed part of JSON lines is not whole", ONCE, LINE],
  ["a closed part of idempotent JSON lines is not whole", REPEATED, LINE],
  ["a closed part of an engine's JSON lines is not whole", ENGINE, LINE],
];

// Guards against a part that parses by itself, of a runner that ended.
for (const [name, call, part] of CUT) {
  test(name, async (t) => {
    const replies = await answers(t, call, { ...part, by: "close" });
    assert.deepEqual(replies.filter(({ ended }) => ended), []);
  });
}

// Guards against a coding that is taken for chunks, whose end would be stated.
for (const coding of ["chunked, gzip", "xchunked", "identity"]) {
  test(`a closed part in the coding ${coding} is not whole`, async (t) => {
    const replies = await answers(t, ONCE, {
      type: "text/plain",
      coding,
      body: "a part",
      by: "close",
    });
    assert.deepEqual(replies.filter(({ ended }) => ended), []);
  });
}

for (const coding of ["chunked", "Chunked", "gzip, chunked"]) {
  test(`an answer in the coding ${coding} is whole`, async (t) => {
    const replies = await answers(t, ONCE, {
      type: "text/plain",
      coding,
      body: "5\r\nwhole\r\n0\r\n\r\n",
      by: "close",
    });
    for (const { body, ended } of replies) {
      assert.deepEqual([body, ended], ["whole", true]);
    }
  });
}

/** Answers its first request with a part of a number, and kills itself. */
const KILLED_RUNNER = `
require("node:http").createServer(({ headers, socket }) => {
  const id = headers["umbermast-attempt-id"];
  socket.write(
    "HTTP/1.1 200 OK\\r\\ncontent-type: application/json\\r\\n" +
      "umbermast-attempt-id: " + id + "\\r\\n\\r\\n12",
    () => process.kill(process.pid, "SIGKILL"),
  );
}).listen(0, "127.0.0.1", function () {
  console.log(this.address().port);
});
`;

test("a part of a runner whose process is killed is not whole", async (t) => {
  const child = spawn(process.execPath, ["-e", KILLED_RUNNER]);
  const ended = once(child, "exit");
  const [port] = await once(child.stdout, "data") as [Buffer];
  const bench = callBench([runnerAt("a", Number(port.toString()))]);
  t.after(() => {
    bench.connections.close();
    child.kill("SIGKILL");
  });
  const reply = new RecordingReply();
  await Effect.runPromise(bench.callRunner.run(ONCE, reply));
  await ended;
  assert.equal(reply.ended, false);
  assert.equal(reply.problem?.code, "answer_broken");
});

// Guards against a stream that ends as complete before its last event.
for (const by of ["reset", "close"] as const) {
  test(`a stream whose connection ends by ${by} is resumed`, async (t) => {
    const ending = { ...PART_OF_STREAM, by };
    for (const { body, ended } of await answers(t, callOf(), ending)) {
      assert.deepEqual([body, ended], [WHOLE_STREAM, true]);
    }
  });
}

const OBJECT = {
  type: "application/json",
  body: '{"choices":[]}',
} as const;

/** A test's name, the call, and its whole answer. */
const CLOSED: readonly Part[] = [
  ["a closed answer is whole", ONCE, OBJECT],
  ["a closed idempotent answer is whole", REPEATED, OBJECT],
  ["a closed answer of an engine is whole", ENGINE, OBJECT],
  ["a closed number that ends its line is whole", ONCE, {
    type: "application/json; charset=utf-8",
    body: "1234\n",
  }],
  ["a closed problem report is whole", ONCE, {
    type: "application/problem+json",
    body: '{"title":"No such van"}',
  }],
  ["a closed stream is whole", callOf(), {
    type: "text/event-stream",
    body: WHOLE_STREAM,
  }],
];

for (const [name, call, whole] of CLOSED) {
  test(name, async (t) => {
    const replies = await answers(t, call, { ...whole, by: "close" });
    for (const { body, ended } of replies) {
      assert.deepEqual([body, ended], [whole.body, true]);
    }
  });
}

// Guards against an end mark that is lost with its connection.
test("a stream that is reset behind its end mark is whole", async (t) => {
  const ending = {
    type: "text/event-stream",
    body: WHOLE_STREAM,
    by: "reset",
  } as const;
  for (const { body, ended } of await answers(t, callOf(), ending)) {
    assert.deepEqual([body, ended], [WHOLE_STREAM, true]);
  }
});

/** Size of a request that its runner answers before it has read it. */
const LONG_REQUEST_BYTES = 3_500_000;

/** Sends long requests to a runner that answers before it has read them. */
async function earlyAnswers(
  t: TestContext,
  answer: (socket: Socket, attemptId: string) => void,
): Promise<readonly RecordingReply[]> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", (head) => {
      const id = /umbermast-attempt-id: (.*)\r\n/i.exec(
        head.toString("latin1"),
      );
      socket.pause();
      answer(socket, id?.[1] ?? "");
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const bench = callBench([runnerAt("a", port)]);
  t.after(() => {
    bench.connections.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const call = jobCard({ body: Buffer.alloc(LONG_REQUEST_BYTES) });
  const replies: RecordingReply[] = [];
  for (let i = 0; i < TRIES; i++) {
    const reply = new RecordingReply();
    await Effect.runPromise(bench.callRunner.run(call, reply));
    replies.push(reply);
  }
  return replies;
}

// Guards against the same where the answer and the reset come while the request is sent.
test("a reset part is not whole while its request is being sent", async (t) => {
  const replies = await earlyAnswers(t, (socket, id) => {
    socket.write(headOf(id, { ...NUMBER, by: "reset" }) + NUMBER.body);
    socket.resetAndDestroy();
  });
  assert.deepEqual(replies.filter(({ ended }) => ended), []);
});

// Guards against an answer that waits until a runner has read the whole request.
test("a closed answer is whole while its request is being sent", async (t) => {
  const replies = await earlyAnswers(t, (socket, id) => {
    socket.end(headOf(id, { ...OBJECT, by: "close" }) + OBJECT.body);
  });
  for (const { body, ended } of replies) {
    assert.deepEqual([body, ended], [OBJECT.body, true]);
  }
});
