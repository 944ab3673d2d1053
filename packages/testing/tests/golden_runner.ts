/**
 * A runner that a test plays byte by byte.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { answerText, wholeRequest } from "./golden_message.ts";
import type { Part } from "./golden_text.ts";

/** Plays a runner's answer to one request. */
export type Play = (socket: Socket, request: string) => void;

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
