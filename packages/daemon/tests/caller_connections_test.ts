import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { CallResult } from "../src/request/call.ts";
import {
  answerOf,
  CHAT,
  chatText,
  dial,
  echo,
  errorOf,
  exchange,
  head,
  JSON_TYPE,
  openCallerSide,
  readToEnd,
  requestText,
} from "./caller_fixture.ts";
import type { Play } from "./caller_fixture.ts";

type Options = Parameters<typeof openCallerSide>[0];

/** Opens a callers' side that closes with the test. */
async function opened(context: TestContext, options: Options = {}) {
  const side = await openCallerSide(options);
  context.after(() => side.close());
  return side;
}

const STREAM_HEAD = {
  status: 200,
  headers: [{ name: "content-type", value: "text/event-stream" }],
};
const BLOCK = Buffer.alloc(65_536, "x");

/** Writes without end, until the caller's side gives up. */
const flood: Play = (_call, reply) =>
  Effect.gen(function* () {
    reply.writeHead(STREAM_HEAD);
    while (true) yield* reply.write(BLOCK);
  }).pipe(
    Effect.catch(({ reason }) =>
      Effect.succeed<CallResult>({ _tag: "CallerLeft", reason })
    ),
  );

/** Plays that tell when they start and when they are interrupted. */
function waitingPlay() {
  const started = Deferred.makeUnsafe<void>();
  const interrupted = Deferred.makeUnsafe<void>();
  const play: Play = () =>
    Deferred.succeed(started, undefined).pipe(
      Effect.andThen(Effect.never),
      Effect.onInterrupt(() => Deferred.succeed(interrupted, undefined)),
    );
  return { play, started, interrupted };
}

test("a call has the caller's end-to-end headers, and no others", async (context) => {
  const { port } = await opened(context);
  const text = requestText("PUT /services/yard-app/jobs/7?full=1 HTTP/1.1", {
    headers: {
      connection: "close, X-Private",
      "x-private": "1",
      "keep-alive": "timeout=5",
      te: "trailers",
      "umbermast-class": "cut-sheet",
      "umbermast-priority": "0",
      "idempotency-key": "job-7",
      "x-trace": "abc",
    },
    body: "hello",
  });
  const answer = answerOf(await exchange(port, text));
  const call = JSON.parse(answer.body);
  assert.deepEqual(call.headers, [{ name: "x-trace", value: "abc" }]);
  assert.equal(call.method, "PUT");
  assert.equal(call.path, "/jobs/7?full=1");
  assert.equal(call.class, "cut-sheet");
  assert.equal(call.tier, 2);
  assert.equal(call.idempotencyKey, "job-7");
  assert.equal(call.repeatable, true);
  assert.equal(call.body, "hello");
  assert.equal(answer.headers.get("umbermast-request-id"), call.requestId);
});

test("a plain call is repeatable when its method is, or as it says", async (context) => {
  const { port } = await opened(context);
  const repeatable = async (
    method: string,
    headers: Readonly<Record<string, string>> = {},
  ) => {
    const first = `${method} /services/yard-app/jobs HTTP/1.1`;
    const text = await exchange(port, requestText(first, { headers }));
    return JSON.parse(answerOf(text).body).repeatable;
  };
  assert.equal(await repeatable("POST"), false);
  assert.equal(await repeatable("DELETE"), true);
  const said = { "umbermast-repeatable": "true" };
  assert.equal(await repeatable("POST", said), true);
  const denied = { "umbermast-repeatable": "false" };
  assert.equal(await repeatable("GET", denied), false);
});

test("a chat call passes unknown fields on and knows its facts", async (context) => {
  const { port } = await opened(context);
  const body = { unheard_of: [1], stream: true, max_tokens: 9 };
  const answer = answerOf(await exchange(port, chatText(body)));
  const call = JSON.parse(answer.body);
  assert.deepEqual(JSON.parse(call.body).unheard_of, [1]);
  assert.equal(call.streamed, true);
  assert.equal(call.maxTokens, 9);
  assert.equal(call.service, "drafting-llm");
  assert.equal(call.class, "quote");
});

test("models are listed in the OpenAI shape", async (context) => {
  const { port } = await opened(context);
  const text = await exchange(port, requestText("GET /v1/models HTTP/1.1"));
  const { object, data } = JSON.parse(answerOf(text).body);
  assert.equal(object, "list");
  assert.deepEqual(data, [{
    id: "drafting",
    object: "model",
    created: 0,
    owned_by: "drafting-llm",
  }]);
});

test("a caller that expects 100-continue is asked for its body", async (context) => {
  const { port } = await opened(context);
  const socket = await dial(port);
  const first = "POST /services/yard-app/jobs HTTP/1.1";
  socket.write(
    head(first, {
      expect: "100-continue",
      "content-length": "2",
      connection: "close",
    }) + "\r\n\r\n",
  );
  const [asked] = await once(socket, "data");
  assert.match(String(asked), /^HTTP\/1.1 100 Continue/);
  socket.write("hi");
  const call = JSON.parse(answerOf(await readToEnd(socket)).body);
  assert.equal(call.body, "hi");
});

test("a caller whose request is refused is not asked for its body", async (context) => {
  const { port } = await opened(context);
  const text = head(CHAT, {
    ...JSON_TYPE,
    expect: "100-continue",
    "content-length": "2",
    "umbermast-class": "royal",
  });
  const error = errorOf(await exchange(port, `${text}\r\n\r\n`));
  assert.equal(error.code, "class_unknown");
});

// A caller sends a second request before the answer to its first has ended.
// Answers on one connection go out in order, so the second would hold a slot
// for as long as the first lasts; it is refused after the first's answer.
test("a pipelined request is refused after the answer before it", async (context) => {
  const release = Deferred.makeUnsafe<void>();
  const play: Play = (call, reply) =>
    Deferred.await(release).pipe(Effect.andThen(echo(call, reply)));
  const side = await opened(context, { play });
  const keep = chatText({}, { connection: "keep-alive" });
  const answers = exchange(side.port, keep + chatText());
  while (!side.lines.some((line) => line.includes("pipelining_unsupported"))) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  Effect.runSync(Deferred.succeed(release, undefined));
  const text = await answers;
  const second = text.lastIndexOf("HTTP/1.1 ");
  assert.equal(answerOf(text.slice(0, second)).status, 200);
  assert.equal(errorOf(text.slice(second)).code, "pipelining_unsupported");
});

// A caller sends garbage after a whole request that is being run. The answer
// to the request is still owed, so the garbage must not be answered in its
// place with "not-run"; the connection is cut and the work interrupted.
test("garbage behind a request that runs gets no answer", async (context) => {
  const { play, started, interrupted } = waitingPlay();
  const { port } = await opened(context, { play });
  const socket = await dial(port);
  socket.write(chatText({}, { connection: "keep-alive" }));
  await Effect.runPromise(Deferred.await(started));
  const rest = readToEnd(socket);
  socket.write("garbage\r\n\r\n");
  assert.equal(await rest, "");
  await Effect.runPromise(Deferred.await(interrupted));
});

// A caller opens a connection and sends half a head, or nothing. Each holds a
// connection; without a limit enough of them would keep all others out.
for (const [name, text] of [["nothing", ""], ["half a head", "GET / HT"]]) {
  test(`a caller that sends ${name} is refused after the time for heads`, async (context) => {
    const { port } = await opened(context, { limits: { headerTimeoutMs: 20 } });
    const error = errorOf(await exchange(port, text!));
    assert.equal(error.status, 408);
    assert.equal(error.code, "header_timeout");
  });
}

test("a caller that does not finish its body is refused after the time for bodies", async (context) => {
  const { port } = await opened(context, { limits: { bodyTimeoutMs: 20 } });
  const text = head(CHAT, { ...JSON_TYPE, "content-length": "10" });
  const error = errorOf(await exchange(port, `${text}\r\n\r\n{`));
  assert.equal(error.status, 408);
  assert.equal(error.code, "body_timeout");
  assert.equal(error.outcome, "not-run");
});

test("an idle caller's connection is closed", async (context) => {
  const { port } = await opened(context, { limits: { idleCallerMs: 20 } });
  const keep = chatText({}, { connection: "keep-alive" });
  assert.equal(answerOf(await exchange(port, keep)).status, 200);
});

// A caller asks for a long answer and never reads. The bytes on their way are
// bounded, and after the time for writes the caller loses its connection; all
// the while another caller is served.
test("a caller that does not read loses its connection and holds up no other", async (context) => {
  const play: Play = (call, reply) =>
    call.streamed ? flood(call, reply) : echo(call, reply);
  const side = await opened(context, {
    play,
    limits: { callerWriteTimeoutMs: 50 },
  });
  const slow = await dial(side.port);
  slow.pause();
  slow.write(chatText({ stream: true }));
  const closed = once(slow, "close");
  slow.on("error", () => {});
  assert.equal(answerOf(await exchange(side.port, chatText())).status, 200);
  await Effect.runPromise(side.requests.idle);
  slow.resume();
  await closed;
  assert.ok(side.lines.some((line) => line.includes("reason=slow")));
});

test("a caller that leaves interrupts its request", async (context) => {
  const { play, started, interrupted } = waitingPlay();
  const side = await opened(context, { play });
  const socket = await dial(side.port);
  socket.write(chatText());
  await Effect.runPromise(Deferred.await(started));
  socket.destroy();
  await Effect.runPromise(Deferred.await(interrupted));
  await Effect.runPromise(side.requests.idle);
  const ended = side.lines.filter((line) =>
    line.startsWith("event=request_ended") &&
    line.includes("outcome=caller-left reason=closed")
  );
  assert.equal(ended.length, 1);
});

test("a stream that is broken off ends in an error event and no last chunk", async (context) => {
  const play: Play = (_call, reply) =>
    Effect.gen(function* () {
      reply.writeHead(STREAM_HEAD);
      yield* Effect.ignore(reply.write(Buffer.from("data: 1\n\n")));
      const problem = {
        status: 502,
        code: "answer_broken",
        message: "Cannot finish",
        outcome: "failed",
      } as const;
      reply.abort(problem);
      return { _tag: "Ended", problem } as const;
    });
  const { port } = await opened(context, { play });
  const text = await exchange(port, chatText({ stream: true }));
  assert.match(text, /data: 1\n\n/);
  assert.match(text, /data: \{"error":\{.*"code":"answer_broken"/);
  assert.doesNotMatch(text, /\[DONE\]/);
  assert.doesNotMatch(text, /\r\n0\r\n/);
});

test("a fault in running a call is answered as internal, outcome unknown", async (context) => {
  const { port } = await opened(context, {
    play: () => Effect.die(new Error("a fault of the test")),
  });
  const error = errorOf(await exchange(port, chatText()));
  assert.equal(error.status, 500);
  assert.equal(error.code, "internal");
  assert.equal(error.outcome, "unknown");
});

test("an open connection of a leaving daemon is told so and closed", async (context) => {
  const side = await opened(context);
  const socket = await dial(side.port);
  side.leave();
  socket.write(chatText({}, { connection: "keep-alive" }));
  const error = errorOf(await readToEnd(socket));
  assert.equal(error.status, 503);
  assert.equal(error.code, "leaving");
  assert.equal(error.outcome, "not-run");
  assert.equal(error.retryAfter, "1");
});

test("a daemon without a table is not ready", async (context) => {
  const { port } = await opened(context, { table: null });
  const error = errorOf(await exchange(port, chatText()));
  assert.equal(error.status, 503);
  assert.equal(error.code, "not_ready");
});

test("requests beyond those held at once are refused", async (context) => {
  const { play, started } = waitingPlay();
  const side = await opened(context, { play, limits: { queuedRequests: 1 } });
  const first = await dial(side.port);
  first.write(chatText());
  await Effect.runPromise(Deferred.await(started));
  const error = errorOf(await exchange(side.port, chatText()));
  assert.equal(error.code, "too_many_requests");
  assert.equal(error.status, 503);
  first.destroy();
});

// Guards against open requests whose sum is bounded by their number only.
test("requests beyond the memory for open ones are refused", async (context) => {
  const { play, started } = waitingPlay();
  const side = await opened(context, { play, requestBytes: 30_000 });
  const first = await dial(side.port);
  first.write(chatText());
  await Effect.runPromise(Deferred.await(started));
  const error = errorOf(await exchange(side.port, chatText()));
  assert.equal(error.code, "too_many_requests");
  first.destroy();
});
