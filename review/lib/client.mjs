// A client of an entry daemon.
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";

export const newId = () => randomBytes(8).toString("hex");

/** An agent that keeps one connection, as clients do. */
export const keptConnection = () => new Agent({ keepAlive: true, maxSockets: 1 });

/**
 * Sends one request.
 *
 * @returns `{ status, headers, text, whole, ms }`; `whole` tells whether the answer came to
 * its end, and `status` is 0 if none began.
 */
export function send({
  port,
  host,
  path,
  method = "POST",
  headers = {},
  body = "",
  id = newId(),
  deadlineMs,
  key,
  agent = false,
  gapMs,
}) {
  const began = performance.now();
  return new Promise((resolve) => {
    const result = { id, status: 0, headers: {}, text: "", whole: false };
    const end = (reason) => {
      clearTimeout(timer);
      clearTimeout(gap);
      result.reason ??= reason;
      result.ms = Math.round(performance.now() - began);
      resolve(result);
    };
    const sent = request({
      host: "127.0.0.1",
      port,
      path,
      method,
      agent,
      headers: {
        Host: host,
        "Umbermast-Attempt-Id": id,
        "Umbermast-Deadline-Ms": deadlineMs,
        ...(key && { Authorization: `Bearer ${key}` }),
        ...(body !== "" && { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const leave = (reason) => {
      result.reason = reason;
      sent.destroy();
    };
    const timer = setTimeout(() => leave("deadline"), deadlineMs);
    // Clients abandon a stream after a long gap.
    let gap;
    const awaitEvent = () => {
      clearTimeout(gap);
      if (gapMs !== undefined) gap = setTimeout(() => leave("gap"), gapMs);
    };
    awaitEvent();
    sent.on("error", (error) => end(error.code ?? error.message));
    sent.on("close", () => end("closed"));
    sent.on("response", (answer) => {
      result.status = answer.statusCode;
      result.headers = answer.headers;
      answer.setEncoding("utf8");
      answer.on("data", (text) => {
        result.text += text;
        awaitEvent();
      });
      answer.on("error", (error) => end(error.code ?? error.message));
      answer.on("end", () => {
        result.whole = answer.complete;
        end("end");
      });
    });
    sent.end(body);
  });
}
