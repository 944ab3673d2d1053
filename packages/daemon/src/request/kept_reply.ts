/**
 * A reply that is also kept for a second try.
 *
 * @module
 */
import type { KeptAnswer } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { AnswerHead, CallerGone, Problem, Reply } from "./call.ts";

/**
 * Largest answer that is collected, in bytes. The claims keep less by default;
 * this only bounds memory while an answer is on its way.
 */
const MAX_KEPT_BYTES = 65_536;

/**
 * Passes an answer on and keeps a copy while it is small. A caller that leaves
 * does not end the answer: a lost connection is the very case for which callers
 * give idempotency keys, and the second try is to find the whole answer.
 */
export class KeptReply implements Reply {
  readonly #reply: Reply;
  #head: AnswerHead | undefined;
  #pieces: Uint8Array[] = [];
  #size = 0;
  #whole = false;
  #gone = false;

  constructor(reply: Reply) {
    this.#reply = reply;
  }

  get begun(): boolean {
    return this.#head !== undefined;
  }

  /** The whole answer; `undefined` when it is not whole or was too long. */
  get kept(): KeptAnswer | undefined {
    if (this.#head === undefined || !this.#whole) return undefined;
    if (this.#size > MAX_KEPT_BYTES) return undefined;
    return {
      status: this.#head.status,
      headers: this.#head.headers,
      body: Buffer.concat(this.#pieces),
    };
  }

  begin(head: AnswerHead): void {
    this.#head = head;
    this.#reply.begin(head);
  }

  push(bytes: Uint8Array): boolean {
    this.#size += bytes.length;
    if (this.#size <= MAX_KEPT_BYTES) this.#pieces.push(bytes);
    else this.#pieces = [];
    return this.#gone || this.#reply.push(bytes);
  }

  room(): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() =>
      this.#gone
        ? Effect.void
        : Effect.catch(this.#reply.room(), () => this.#leave)
    );
  }

  write(bytes: Uint8Array): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() => this.push(bytes) ? Effect.void : this.room());
  }

  readonly #leave = Effect.sync(() => {
    this.#gone = true;
  });

  end(): void {
    this.#whole = true;
    this.#reply.end();
  }

  breakOff(problem: Problem): void {
    this.#reply.breakOff(problem);
  }

  refuse(problem: Problem): void {
    this.#reply.refuse(problem);
  }
}
