import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import {
  CHAT,
  chatText,
  errorOf,
  exchange,
  head,
  JSON_TYPE,
  KEY,
  openCallerSide,
  requestText,
} from "./caller_fixture.ts";
import type { CallerSide } from "./caller_fixture.ts";

interface Refusal {
  readonly name: string;
  readonly text: string;
  readonly status: number;
  readonly code: string;
  readonly place: string | null;
}

const YARD = "POST /services/yard-app/jobs HTTP/1.1";
const LONG = "x".repeat(256);

function chat(
  name: string,
  headers: Readonly<Record<string, string>>,
  expected: Omit<Refusal, "name" | "text">,
): Refusal {
  return { name, text: chatText({}, headers), ...expected };
}

function body(
  name: string,
  text: string,
  place: string,
): Refusal {
  const request = requestText(CHAT, { headers: JSON_TYPE, body: text });
  return { name, text: request, status: 400, code: "body_invalid", place };
}

const REFUSALS: readonly Refusal[] = [
  chat("an unknown key", { authorization: "Bearer nobody" }, {
    status: 401,
    code: "key_invalid",
    place: "header/authorization",
  }),
  chat("another scheme than Bearer", { authorization: `Basic ${KEY}` }, {
    status: 401,
    code: "key_invalid",
    place: "header/authorization",
  }),
  chat("an unknown class", { "umbermast-class": "royal" }, {
    status: 400,
    code: "class_unknown",
    place: "header/umbermast-class",
  }),
  chat("a repeatable mark that is no boolean", {
    "umbermast-repeatable": "no",
  }, {
    status: 400,
    code: "repeatable_invalid",
    place: "header/umbermast-repeatable",
  }),
  chat("an idempotency key that is too long", { "idempotency-key": LONG }, {
    status: 400,
    code: "idempotency_key_invalid",
    place: "header/idempotency-key",
  }),
  chat("an empty idempotency key", { "idempotency-key": "" }, {
    status: 400,
    code: "idempotency_key_invalid",
    place: "header/idempotency-key",
  }),
  chat("an idempotency key given twice", {
    "idempotency-key": "a\r\nidempotency-key: b",
  }, {
    status: 400,
    code: "idempotency_key_invalid",
    place: "header/idempotency-key",
  }),
  chat("a content type that is not JSON", { "content-type": "text/plain" }, {
    status: 415,
    code: "content_type_unsupported",
    place: "header/content-type",
  }),
  chat("a compressed body", { "content-encoding": "gzip" }, {
    status: 415,
    code: "content_type_unsupported",
    place: "header/content-encoding",
  }),
  chat("an expectation it cannot meet", { expect: "a-miracle" }, {
    status: 417,
    code: "expectation_unsupported",
    place: "header/expect",
  }),
  {
    name: "an unknown model",
    text: chatText({ model: "oracle" }),
    status: 404,
    code: "model_unknown",
    place: "body/model",
  },
  {
    name: "an unknown service",
    text: requestText("POST /services/forge/x HTTP/1.1"),
    status: 404,
    code: "service_unknown",
    place: "path",
  },
  {
    name: "a model service called as a plain one",
    text: requestText("POST /services/drafting-llm/x HTTP/1.1"),
    status: 404,
    code: "service_unknown",
    place: "path",
  },
  {
    name: "an unknown path",
    text: requestText("GET /v2 HTTP/1.1"),
    status: 404,
    code: "path_unknown",
    place: "path",
  },
  {
    name: "a method that the path does not have",
    text: requestText("GET /v1/chat/completions HTTP/1.1"),
    status: 405,
    code: "method_unsupported",
    place: "method",
  },
  {
    name: "the CONNECT method",
    text: requestText("CONNECT umbermast:80 HTTP/1.1"),
    status: 405,
    code: "method_unsupported",
    place: "method",
  },
  {
    name: "HTTP/1.0",
    text: requestText("POST /v1/chat/completions HTTP/1.0"),
    status: 426,
    code: "http_version_unsupported",
    place: "request-line",
  },
  {
    name: "a length and a transfer coding together",
    text: `${head(YARD, { "content-length": "3" })}\r\n` +
      "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    status: 400,
    code: "request_invalid",
    place: "request",
  },
  {
    name: "a transfer coding besides chunked",
    text: `${head(YARD, { connection: "close" })}\r\n` +
      "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    status: 400,
    code: "transfer_encoding_unsupported",
    place: "header/transfer-encoding",
  },
  {
    name: "a transfer coding that does not end in chunked",
    text: `${head(YARD)}\r\ntransfer-encoding: chunked, gzip\r\n\r\n`,
    status: 400,
    code: "request_invalid",
    place: "request",
  },
  {
    name: "two lengths",
    text: `${
      head(YARD, { "content-length": "3" })
    }\r\ncontent-length: 4\r\n\r\nabcd`,
    status: 400,
    code: "request_invalid",
    place: "request",
  },
  {
    name: "a chunk size that is no number",
    text: `${head(YARD)}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n`,
    status: 400,
    code: "request_invalid",
    place: "request",
  },
  {
    name: "what is not HTTP",
    text: "\u0016\u0003\u0001 hello\r\n\r\n",
    status: 400,
    code: "request_invalid",
    place: "request",
  },
  {
    name: "a head that is too large",
    text: head(YARD, { "x-filler": "x".repeat(8192) }) + "\r\n\r\n",
    status: 431,
    code: "header_too_large",
    place: "header",
  },
  {
    name: "a declared body that is too large",
    text: `${head(YARD, { "content-length": "65537" })}\r\n\r\n${
      "x".repeat(65_537)
    }`,
    status: 413,
    code: "body_too_large",
    place: "body",
  },
  {
    name: "a chunked body that is too large",
    text: `${head(YARD)}\r\ntransfer-encoding: chunked\r\n\r\n` +
      `10001\r\n${"x".repeat(65_537)}\r\n0\r\n\r\n`,
    status: 413,
    code: "body_too_large",
    place: "body",
  },
  body("a body that is not JSON", '{"model": "drafting",', "body"),
  body("a body that is not UTF-8", '{"model": "\xff"}', "body"),
  body("a body that is no object", "[]", "body"),
  body("a model that is no string", '{"model": 4}', "body/model"),
  body("a body without messages", '{"model": "drafting"}', "body/messages"),
  body(
    "a message without a role",
    '{"model": "drafting", "messages": [{"role": "user"}, {}]}',
    "body/messages/1/role",
  ),
  body(
    "a stream mark that is no boolean",
    '{"model": "drafting", "stream": "yes", "messages": [{"role": "user"}]}',
    "body/stream",
  ),
  body(
    "a bound of tokens that is no integer",
    '{"model": "drafting", "max_tokens": 0, "messages": [{"role": "user"}]}',
    "body/max_tokens",
  ),
];

describe("a caller is refused, with the code and place of the fault, for", () => {
  let side: CallerSide;
  before(async () => {
    side = await openCallerSide();
  });
  after(() => side.close());

  for (const { name, text, status, code, place } of REFUSALS) {
    test(name, async () => {
      const error = errorOf(await exchange(side.port, text));
      assert.deepEqual(
        {
          status: error.status,
          code: error.code,
          place: error.place,
          outcome: error.outcome,
          sameRequestId: error.sameRequestId,
        },
        { status, code, place, outcome: "not-run", sameRequestId: true },
      );
    });
  }
});
