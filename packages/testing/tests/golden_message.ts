/**
 * HTTP messages of recorded sessions, as text.
 *
 * @module
 */

export const HEAD_END = "\r\n\r\n";

const LENGTH = /^content-length: (\d+)$/im;

/** Writes an answer with its length. */
export function answerText(
  status: string,
  options: {
    readonly headers?: readonly string[];
    readonly body?: string;
  } = {},
): string {
  const { headers = [], body = "" } = options;
  const length = `content-length: ${Buffer.byteLength(body)}`;
  const lines = [`HTTP/1.1 ${status}`, ...headers, length];
  return `${lines.join("\r\n")}${HEAD_END}${body}`;
}

/** One chunk of a streamed answer. */
export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Headers by which a runner shows whose request it answers. */
export function echoed(request: string): readonly string[] {
  return ["umbermast-request-id", "umbermast-attempt-id"].flatMap((name) =>
    new RegExp(`^${name}: .*$`, "im").exec(request) ?? []
  );
}

/** Text of the whole request at the start, or undefined while it is not whole. */
export function wholeRequest(text: string): string | undefined {
  const split = text.indexOf(HEAD_END);
  if (split === -1) return undefined;
  const length = Number(LENGTH.exec(text.slice(0, split))?.[1] ?? 0);
  const end = split + HEAD_END.length + length;
  return text.length < end ? undefined : text.slice(0, end);
}

/** Text of a caller's request. */
export function requestText(
  first: string,
  options: {
    readonly key: string;
    readonly headers?: readonly string[];
    readonly body?: string;
  },
): string {
  const { key, headers = [], body = "" } = options;
  const lines = [
    first,
    "host: umbermast",
    ...(key === "" ? [] : [`authorization: Bearer ${key}`]),
    ...headers,
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join("\r\n")}${HEAD_END}${body}`;
}
