import assert from "node:assert/strict";
import { test } from "node:test";
import { parseChatBody } from "./chat_body.ts";

function messageFor(text: string): string {
  return parseChatBody(Buffer.from(text))._unsafeUnwrapErr().message;
}

test("a body that is not JSON is refused with the parser's position", () => {
  assert.equal(
    messageFor('{"model":"a",}'),
    "Cannot read body: expected JSON; parsing fails at position 13",
  );
});

test("a body that is not JSON is refused without a position when the parser gives none", () => {
  const expected = "Cannot read body: expected JSON; parsing fails";
  assert.equal(messageFor('{"model":'), expected);
  assert.equal(messageFor(""), expected);
});

// The parser's error quotes the caller's invalid JSON, and the quoted text may
// look like the parser's own message. None of it may appear in the response.
test("no text of a body that is not JSON is passed on", () => {
  const expected = "Cannot read body: expected JSON; parsing fails";
  assert.equal(messageFor('{"prompt": hunter2}'), expected);
  assert.equal(messageFor("position 99"), expected);
  assert.equal(messageFor("x in JSON at position 99"), expected);
});
