/**
 * An engine's answers in recorded sessions, as text.
 *
 * @module
 */
import { answerText, echoed, HEAD_END } from "./golden_message.ts";

/** Events of a stream: one token each, the last with the reason it ended. */
export function tokenEvent(text: string, last = false): string {
  const choice = {
    index: 0,
    delta: { content: text },
    finish_reason: last ? "stop" : null,
  };
  const usage = { prompt_tokens: 6, completion_tokens: 3, total_tokens: 9 };
  const event = {
    id: "chatcmpl-1",
    object: "chat.completion.chunk",
    choices: [choice],
    ...(last ? { usage } : {}),
  };
  return `data: ${JSON.stringify(event)}\n\n`;
}

export const DONE = "data: [DONE]\n\n";

/** Head of a streamed answer. */
export function streamHead(request: string): string {
  const lines = [
    "HTTP/1.1 200 OK",
    ...echoed(request),
    "content-type: text/event-stream",
    "transfer-encoding: chunked",
  ];
  return `${lines.join("\r\n")}${HEAD_END}`;
}

/** A whole answer of an engine. */
export function wholeAnswer(request: string): string {
  const body = JSON.stringify({
    id: "chatcmpl-1",
    object: "chat.completion",
    choices: [{
      index: 0,
      message: { role: "assistant", content: "one two three" },
      finish_reason: "stop",
    }],
    usage: { prompt_tokens: 6, completion_tokens: 3, total_tokens: 9 },
  });
  const headers = [...echoed(request), "content-type: application/json"];
  return answerText("200 OK", { headers, body });
}
