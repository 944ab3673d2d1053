import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, test } from "node:test";
import { fileURLToPath } from "node:url";
import { startLogged } from "../src/process/child.ts";
import {
  DAEMON,
  daemonSettings,
  LISTENING,
  readListening,
} from "../src/process/daemon_program.ts";
import { RecordedCaller } from "./golden_caller.ts";
import { streamHead, tokenEvent, wholeAnswer } from "./golden_engine.ts";
import { chatText, record } from "./golden_fixture.ts";
import type { Recorded } from "./golden_fixture.ts";
import { answerText, chunk, echoed, requestText } from "./golden_message.ts";
import type { Play } from "./golden_runner.ts";
import { assertGolden } from "./golden_text.ts";

/** A session that ends in the error it is named after. */
interface Session {
  readonly code: string;
  /** Text that the caller sends. */
  readonly text: (recorded: Recorded) => string;
  /** How the runners play; without it nothing may reach them. */
  readonly play?: (recorded: Recorded) => Play;
}

const CHAT = "POST /v1/chat/completions HTTP/1.1";
const CARDS = "POST /services/yard-app/cards HTTP/1.1";
const CLOSE = "connection: close";
const LIMITS = {
  bodyBytes: 4096,
  headerBytes: 4096,
  headerTimeoutMs: 1500,
  bodyTimeoutMs: 1500,
  queuedRequests: 2,
};
const ATTEMPTS = {
  attempts: 1,
  firstTokenMs: 2000,
  betweenTokensMs: 2000,
  wholeAnswerMs: 2000,
  wholeAnswerTokenMs: 1,
  fruitlessResumes: 0,
  resumableS: 0,
};

/** A chat completion with one more header. */
function chatWith(header: string): Session["text"] {
  return (recorded) => chatText(recorded, { headers: [CLOSE, header] });
}

/** A request with the key of a workspace. */
function keyed(
  first: string,
  headers: readonly string[] = [],
): Session["text"] {
  return ({ key }) => requestText(first, { key, headers: [CLOSE, ...headers] });
}

const REFUSED_AT_HEAD: readonly Session[] = [
  {
    code: "key_invalid",
    text: () => requestText(CHAT, { key: "", headers: [CLOSE] }),
  },
  { code: "class_unknown", text: chatWith("umbermast-class: royal") },
  { code: "repeatable_invalid", text: chatWith("umbermast-repeatable: no") },
  { code: "idempotency_key_invalid", text: chatWith("idempotency-key:") },
  { code: "expectation_unsupported", text: chatWith("expect: a-miracle") },
  {
    code: "content_type_unsupported",
    text: keyed(CHAT, ["content-type: text/plain"]),
  },
  { code: "service_unknown", text: keyed("GET /services/forge/x HTTP/1.1") },
  { code: "path_unknown", text: keyed("GET /v2 HTTP/1.1") },
  {
    code: "method_unsupported",
    text: keyed("GET /v1/chat/completions HTTP/1.1"),
  },
  {
    code: "http_version_unsupported",
    text: keyed("POST /v1/chat/completions HTTP/1.0"),
  },
  {
    code: "transfer_encoding_unsupported",
    text: ({ key }) =>
      [
        CARDS,
        "host: umbermast",
        CLOSE,
        `authorization: Bearer ${key}`,
        "transfer-encoding: gzip, chunked",
        "",
        "0",
        "",
        "",
      ].join("\r\n"),
  },
  { code: "request_invalid", text: () => "what is this\r\n\r\n" },
  {
    code: "header_too_large",
    text: keyed(CARDS, [`x-filler: ${"x".repeat(LIMITS.headerBytes)}`]),
  },
  { code: "header_timeout", text: () => "GET /v1/models HTTP/1.1\r\nhost:" },
];

const REFUSED_AT_BODY: readonly Session[] = [
  {
    code: "body_invalid",
    text: (recorded) => chatText(recorded, { body: { messages: "none" } }),
  },
  {
    code: "body_too_large",
    text: (recorded) =>
      chatText(recorded, { body: { filler: "x".repeat(LIMITS.bodyBytes) } }),
  },
  {
    code: "body_timeout",
    text: (recorded) => chatText(recorded).slice(0, -1),
  },
  {
    code: "model_unknown",
    text: (recorded) => chatText(recorded, { body: { model: "oracle" } }),
  },
  {
    code: "pipelining_unsupported",
    text: (recorded) => {
      const first = chatText(recorded, { headers: ["connection: keep-alive"] });
      return first + chatText(recorded);
    },
    // The second request has arrived with the first; both are read by then.
    play: ({ model }) => (socket, request) =>
      model.send(socket, wholeAnswer(request)),
  },
  { code: "no_runner", text: keyed("GET /services/ghost/x HTTP/1.1") },
];

const FAILED_AT_RUNNER: readonly Session[] = [
  {
    code: "runner_refused",
    text: (recorded) => chatText(recorded),
    play: ({ model }) => (socket, request) =>
      model.send(
        socket,
        answerText("503 Service Unavailable", {
          headers: [...echoed(request), "umbermast-started: false"],
        }),
      ),
  },
  {
    code: "answer_lost",
    text: (recorded) => chatText(recorded),
    play: ({ model }) => (socket) => {
      model.note("cuts the connection");
      socket.destroy();
    },
  },
  {
    code: "runner_silent",
    text: (recorded) => chatText(recorded),
    play: ({ model }) => () => model.note("says nothing"),
  },
  {
    code: "answer_crossed",
    text: (recorded) => chatText(recorded),
    play: ({ model }) => (socket, request) =>
      model.send(
        socket,
        wholeAnswer(request.replaceAll(/^(umbermast-.*-id): .*$/gim, "$1: 7")),
      ),
  },
  {
    code: "answer_broken",
    text: (recorded) => chatText(recorded, { body: { stream: true } }),
    play: ({ model }) => (socket, request) => {
      model.send(socket, streamHead(request));
      model.send(socket, chunk(tokenEvent("one ")));
      model.send(socket, "0\r\n\r\n");
    },
  },
  {
    code: "runner_failed",
    text: (recorded) => chatText(recorded),
    play: ({ model }) => (socket, request) => {
      const headers = echoed(request);
      model.send(socket, answerText("500 Internal Server Error", { headers }));
    },
  },
  {
    code: "runner_unreachable",
    text: keyed("GET /services/closed-app/x HTTP/1.1"),
  },
];

function plainService(name: string) {
  return {
    name,
    kind: "plain",
    models: [],
    checksFencing: false,
    slotsPerRunner: 1,
  } as const;
}

/** Runs a session to the end of the caller's connection, and compares it. */
async function play(recorded: Recorded, session: Session): Promise<void> {
  const { model, plain } = recorded;
  // An engine is told to cancel beside the answer, at no certain time.
  model.unrecorded = /^POST \/v1\/cancel /;
  model.parts = [];
  plain.parts = [];
  if (session.play !== undefined) model.play = session.play(recorded);
  const caller: RecordedCaller = await recorded.caller();
  caller.send(session.text(recorded));
  await caller.ended();
  assert.match(caller.gets.text, new RegExp(`"code":"${session.code}"`));
  assertGolden(`errors/${session.code}`, [
    caller.sends,
    ...model.parts,
    ...plain.parts,
    caller.gets,
  ]);
}

describe("each error has a golden session", () => {
  let recorded: Recorded;
  const ends: (() => Promise<void> | void)[] = [];
  before(async () => {
    recorded = await record({ after: (end) => ends.push(end as () => void) }, {
      daemonSettings: {
        limits: LIMITS,
        attempts: ATTEMPTS,
        // Each session meets the runner as if it were the first.
        scheduling: { switches: { ejection: false, adaptiveSlots: false } },
      },
      table: (table) => ({
        ...table,
        services: [
          ...table.services,
          plainService("ghost"),
          plainService("closed-app"),
        ],
      }),
    });
  });
  after(async () => {
    for (const end of ends) await end();
  });

  for (
    const session of [
      ...REFUSED_AT_HEAD,
      ...REFUSED_AT_BODY,
      ...FAILED_AT_RUNNER,
    ]
  ) {
    test(session.code, () => play(recorded, session));
  }

  // The daemon holds as many requests as it may. The next one is told so at
  // once and is not run; those that are held are not touched.
  test("too_many_requests", async () => {
    const { model } = recorded;
    model.parts = [];
    const held: RecordedCaller[] = [];
    for (let at = 0; at < LIMITS.queuedRequests; at++) {
      model.play = () => {};
      const arrived = model.arrived();
      const caller = await recorded.caller();
      caller.send(chatText(recorded));
      held.push(caller);
      await arrived;
    }
    const caller = await recorded.caller();
    caller.send(chatText(recorded));
    await caller.ended();
    assertGolden("errors/too_many_requests", [caller.sends, caller.gets]);
    for (const each of held) await each.ended();
  });
});

// SIGTERM comes in the middle of a stream, and a second one before its end. The
// caller must be able to tell that its answer is not whole: the stream ends in
// an error event and a cut connection, and the exit status is not 0.
test("stopped has a golden session", async (context) => {
  const recorded = await record(context);
  const { daemon, model } = recorded;
  model.unrecorded = /^POST \/v1\/cancel /;
  model.play = (socket, request) => {
    model.send(socket, streamHead(request));
    model.send(socket, chunk(tokenEvent("one ")));
  };
  const caller = await recorded.caller();
  caller.send(chatText(recorded, { body: { stream: true } }));
  await caller.got("one ");
  daemon.child.kill("SIGTERM");
  await daemon.child.logged(/event=phase_entered phase=leaving/);
  daemon.child.kill("SIGTERM");
  await caller.ended();
  const status = await daemon.child.ended;
  assertGolden("errors/stopped", [
    caller.sends,
    ...model.parts,
    { title: "daemon gets SIGTERM after", text: "the first token, twice" },
    caller.gets,
    { title: "daemon exits", text: `status ${status}` },
  ]);
});

// A daemon starts while the platform is down, and has no table from a peer. It
// listens, and tells callers that it is not ready.
test("not_ready has a golden session", async (context) => {
  const folder = await mkdtemp(join(tmpdir(), "umbermast-golden-"));
  const settings = join(folder, "settings.json");
  await writeFile(
    settings,
    JSON.stringify(daemonSettings({
      name: "entry-1",
      address: "127.0.0.1",
      region: "kingston",
      failureDomain: "portmore",
      operatorToken: "operators-token",
      peerKey: "peers-shared-key",
      platformUrl: "http://127.0.0.1:1",
      scheduler: "umbermast",
    })),
  );
  const logFile = join(folder, "log");
  const child = startLogged([DAEMON, "--settings", settings], { logFile });
  context.after(() => child.stop(1000));
  const { callers } = readListening(await child.logged(LISTENING));
  const caller = await RecordedCaller.open(`http://${callers}`);
  caller.send(requestText(CHAT, { key: "any", headers: [CLOSE] }));
  await caller.ended();
  assertGolden("errors/not_ready", [caller.sends, caller.gets]);
});

/** Codes that no session of stand-ins brings about, and why. */
const WITHOUT_SESSION: Readonly<Record<string, string>> = {
  internal: "A fault of the daemon itself; see caller_connections_test.ts",
  body_stalled: "Needs callers that fill all room; see body_reader_test.ts",
  buffers_full: "Needs callers that fill all room; see body_reader_test.ts",
  queue_full: "Needs a thousand waiting requests; see fair_queue_test.ts",
  grant_expired: "Needs a slot that lapses between grant and send",
};

test("every code of the page has a golden session, but those named here", () => {
  const page = readFileSync(
    new URL("../../../../docs/codes.md", import.meta.url),
    "utf8",
  );
  const [, errors = ""] = page.split(/^## /m);
  const codes = [...errors.matchAll(/^\| `([a-z_]+)`/gm)].map(([, code]) =>
    code
  );
  const folder = new URL("../../tests/golden/errors/", import.meta.url);
  const recorded = readdirSync(fileURLToPath(folder))
    .map((file) => file.replace(/\.golden$/, ""));
  const expected = codes.filter((code) => !(code! in WITHOUT_SESSION));
  assert.deepEqual(recorded.sort(), expected);
});
