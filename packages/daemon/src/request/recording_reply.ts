/**
 * A reply that also records the response for a later request with the same key.
 *
 * @module
 */
import type { KeptAnswer } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { CallerGone, Problem, Reply, ResponseHead } from "./call.ts";

/**
 * Largest response that is recorded, in bytes. Claims store less by default;
 * this limit only bounds memory while a response is being relayed.
 */
const MAX_RECORDED_BYTES = 65_536;

/**
 * Forwards a response and records a copy while it is small. A caller that
 * disconnects does not end the response: callers send idempotency keys for the
 * case of a lost connection, and the second request must get the complete
 * response.
 */
export class RecordingReply implements Reply {
  readonly #reply: Reply;
  #head: ResponseHead | undefined;
  #chunks: Uint8Array[] = [];
  #size = 0;
  #complete = false;
  #disconnected = false;

  constructor(reply: Reply) {
    this.#reply = reply;
  }

  get headersSent(): boolean {
    return this.#head !== undefined;
  }

  /** The complete response; `undefined` when it is incomplete or was too long. */
  get recording(): KeptAnswer | undefined {
    if (this.#head === undefined || !this.#complete) return undefined;
    if (this.#size > MAX_RECORDED_BYTES) return undefined;
    return {
      status: this.#head.status,
      headers: this.#head.headers,
      body: Buffer.concat(this.#chunks),
    };
  }

  writeHead(head: ResponseHead): void {
    this.#head = head;
    this.#reply.writeHead(head);
  }

  push(bytes: Uint8Array): boolean {
    this.#size += bytes.length;
    if (this.#size <= MAX_RECORDED_BYTES) this.#chunks.push(bytes);
    else this.#chunks = [];
    return this.#disconnected || this.#reply.push(bytes);
  }

  drained(): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() =>
      this.#disconnected
        ? Effect.void
        : Effect.catch(this.#reply.drained(), () => this.#markDisconnected)
    );
  }

  write(bytes: Uint8Array): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() =>
      this.push(bytes) ? Effect.void : this.drained()
    );
  }

  readonly #markDisconnected = Effect.sync(() => {
    this.#disconnected = true;
  });

  end(): void {
    this.#complete = true;
    this.#reply.end();
  }

  abort(problem: Problem): void {
    this.#reply.abort(problem);
  }

  refuse(problem: Problem): void {
    this.#reply.refuse(problem);
  }
}
