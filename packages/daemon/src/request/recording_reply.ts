/**
 * A reply that is also kept for a second try.
 *
 * @module
 */
import type { KeptAnswer } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { CallerGone, Problem, Reply, ResponseHead } from "./call.ts";

/**
 * Largest answer that is collected, in bytes. The claims keep less by default;
 * this only bounds memory while an answer is on its way.
 */
const MAX_RECORDED_BYTES = 65_536;

/**
 * Passes an answer on and keeps a copy while it is small. A caller that leaves
 * does not end the answer: a lost connection is the very case for which callers
 * give idempotency keys, and the second try is to find the whole answer.
 */
export class RecordingReply implements Reply {
  readonly #reply: Reply;
  #head: ResponseHead | undefined;
  #pieces: Uint8Array[] = [];
  #size = 0;
  #complete = false;
  #disconnected = false;

  constructor(reply: Reply) {
    this.#reply = reply;
  }

  get headersSent(): boolean {
    return this.#head !== undefined;
  }

  /** The whole answer; `undefined` when it is not whole or was too long. */
  get recorded(): KeptAnswer | undefined {
    if (this.#head === undefined || !this.#complete) return undefined;
    if (this.#size > MAX_RECORDED_BYTES) return undefined;
    return {
      status: this.#head.status,
      headers: this.#head.headers,
      body: Buffer.concat(this.#pieces),
    };
  }

  writeHead(head: ResponseHead): void {
    this.#head = head;
    this.#reply.writeHead(head);
  }

  push(bytes: Uint8Array): boolean {
    this.#size += bytes.length;
    if (this.#size <= MAX_RECORDED_BYTES) this.#pieces.push(bytes);
    else this.#pieces = [];
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
