/**
 * Recorded sessions: a real daemon between a raw caller and runners that a test
 * plays byte by byte.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { TestContext } from "node:test";
import {
  fetchJson,
  type Stack,
  type StackDaemon,
  startStack,
} from "../src/mod.ts";
import type { StackOptions } from "../src/mod.ts";
import type { Part } from "./golden_text.ts";

/** Plays a runner's answer to one request. */
export type Play = (socket: Socket, request: string) => void;

const HEAD_END = "\r\n\r\n";
const LENGTH = /^content-length: (\d+)$/im;
const LOAD = JSON.stringify({
  at: 0,
  running: 0,
  waiting: 0,
  slots: 8,
  stepMs: 3,
  kvUsed: 0,
  kvTotal: 1,
  models: ["drafting-llm"],
  role: "mixed",
  leaving: false,
  incarnation: 1,
});

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
function wholeRequest(text: string): string | undefined {
  const split = text.indexOf(HEAD_END);
  if (split === -1) return undefined;
  const length = Number(LENGTH.exec(text.slice(0, split))?.[1] ?? 0);
  const end = split + HEAD_END.length + length;
  return text.length < end ? undefined : text.slice(0, end);
}

/** A runner that a test plays; it records all but load reports. */
export class PlayedRunner {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #name: string;
  parts: Part[] = [];
  play: Play = (socket) => socket.destroy();
  /** Requests that are answered with 200 and not recorded. */
  unrecorded: RegExp | undefined;
  /** Ends at the next request that is recorded. */
  #arrival: (() => void)[] = [];

  private constructor(name: string, server: Server) {
    this.#name = name;
    this.#server = server;
  }

  static async open(name: string): Promise<PlayedRunner> {
    const server = createServer();
    const runner = new PlayedRunner(name, server);
    server.on("connection", (socket) => runner.#serve(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return runner;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Ends when a request has arrived. */
  arrived(): Promise<void> {
    return new Promise((resolve) => this.#arrival.push(resolve));
  }

  /** Records what the runner sends. */
  send(socket: Socket, text: string): void {
    this.#record("sends", text);
    socket.write(text);
  }

  /** Records an event at the runner. */
  note(text: string): void {
    this.parts.push({ title: `runner ${this.#name}`, text });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #record(verb: string, text: string): void {
    const title = `runner ${this.#name} ${verb}`;
    const last = this.parts.at(-1);
    if (last?.title !== title) this.parts.push({ title, text });
    else this.parts[this.parts.length - 1] = { title, text: last.text + text };
  }

  #serve(socket: Socket): void {
    let text = "";
    this.#sockets.add(socket);
    socket.setEncoding("utf8");
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (part) => {
      text += part;
      for (;;) {
        const request = wholeRequest(text);
        if (request === undefined) return;
        text = text.slice(request.length);
        this.#answer(socket, request);
      }
    });
  }

  #answer(socket: Socket, request: string): void {
    if (request.startsWith("GET /load ")) {
      socket.write(answerText("200 OK", { body: LOAD }));
      return;
    }
    if (this.unrecorded?.test(request)) {
      socket.write(answerText("200 OK"));
      return;
    }
    this.#record("gets", request);
    const waiting = this.#arrival;
    this.#arrival = [];
    for (const resolve of waiting) resolve();
    this.play(socket, request);
  }
}

/** A caller's connection that is recorded. */
export class RecordedCaller {
  readonly #socket: Socket;
  readonly #ended: Promise<unknown>;
  #sent = "";
  #got = "";
  #waiting: (() => void)[] = [];

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("utf8");
    socket.on("data", (part) => {
      this.#got += part;
      const waiting = this.#waiting;
      this.#waiting = [];
      for (const resolve of waiting) resolve();
    });
    socket.on("error", () => {});
    this.#ended = once(socket, "close");
  }

  static async open(url: string): Promise<RecordedCaller> {
    const socket = connect(Number(new URL(url).port), "127.0.0.1");
    await once(socket, "connect");
    return new RecordedCaller(socket);
  }

  send(text: string): void {
    this.#sent += text;
    this.#socket.write(text);
  }

  /** Waits until a text has come. */
  async got(text: string): Promise<void> {
    while (!this.#got.includes(text)) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
  }

  leave(): void {
    this.#socket.destroy();
  }

  /** Stops reading; what comes fills the buffers on the way. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  /** Waits until the connection is closed. */
  async ended(): Promise<void> {
    await this.#ended;
  }

  get sends(): Part {
    return { title: "caller sends", text: this.#sent };
  }

  get gets(): Part {
    return { title: "caller gets", text: this.#got };
  }
}

/** A daemon with a model runner and a plain runner that a test plays. */
export interface Recorded {
  readonly stack: Stack;
  readonly daemon: StackDaemon;
  readonly model: PlayedRunner;
  readonly plain: PlayedRunner;
  readonly key: string;
  caller(): Promise<RecordedCaller>;
}

/** Waits until a daemon knows as many runners. */
export async function knowsRunners(
  stack: Stack,
  options: { readonly daemon: StackDaemon; readonly count: number },
): Promise<void> {
  const headers = { authorization: `Bearer ${stack.operatorToken}` };
  for (;;) {
    const url = `${options.daemon.operatorUrl}/runners`;
    const { body } = await fetchJson(url, { headers });
    const { runners } = body as { readonly runners: readonly unknown[] };
    if (runners.length === options.count) return;
  }
}

/** Starts a daemon between recorded ends; all of it ends with the test. */
export async function record(
  context: Pick<TestContext, "after">,
  options: StackOptions = {},
): Promise<Recorded> {
  const stack = await startStack({
    daemons: 1,
    runners: 0,
    plainRunners: 0,
    ...options,
  });
  const model = await PlayedRunner.open("drafting");
  const plain = await PlayedRunner.open("yard");
  context.after(async () => {
    model.close();
    plain.close();
    await stack.close();
  });
  const { modelService, plainService, region } = stack.deployment;
  const [failureDomain = ""] = stack.deployment.failureDomains;
  const place = {
    role: "runner",
    address: "127.0.0.1",
    region,
    failureDomain,
    state: "live",
    incarnation: 1,
  } as const;
  const [daemon] = stack.daemons;
  if (daemon === undefined) throw new Error("Cannot record: no daemon");
  // Nothing listens where this runner is listed.
  const closed = await PlayedRunner.open("closed");
  const listed = [
    { name: "drafting", service: modelService, port: model.port },
    { name: "yard", service: plainService, port: plain.port },
    { name: "closed", service: "closed-app", port: closed.port },
  ];
  closed.close();
  for (const host of listed) await stack.setHost({ ...place, ...host });
  await knowsRunners(stack, { daemon, count: listed.length });
  return {
    stack,
    daemon,
    model,
    plain,
    key: stack.keys["front-office"] ?? "",
    caller: () => RecordedCaller.open(daemon.url),
  };
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

/** Text of a chat completion. */
export function chatText(
  recorded: Recorded,
  options: {
    readonly body?: Readonly<Record<string, unknown>>;
    readonly headers?: readonly string[];
  } = {},
): string {
  const body = JSON.stringify({
    model: recorded.stack.deployment.model,
    messages: [{ role: "user", content: "A quote for a worktop" }],
    ...options.body,
  });
  return requestText("POST /v1/chat/completions HTTP/1.1", {
    key: recorded.key,
    headers: [
      "content-type: application/json",
      ...(options.headers ?? ["connection: close"]),
    ],
    body,
  });
}

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
