/**
 * A caller's connection that is recorded.
 *
 * @module
 */
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Part } from "./golden_text.ts";

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
