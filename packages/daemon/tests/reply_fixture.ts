/**
 * A caller that records what it is given.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type {
  CallerGone,
  Problem,
  Reply,
  ResponseHead,
} from "../src/request/call.ts";

/** A caller that records what it is given. */
export class RecordingReply implements Reply {
  head: ResponseHead | undefined;
  body = "";
  ended = false;
  problem: Problem | undefined;
  broken: Problem | undefined;
  /** Fails writes from this many on. */
  goneAfter = Infinity;
  #writes = 0;
  readonly #waiting: { readonly text: string; readonly wake: () => void }[] =
    [];

  get headersSent(): boolean {
    return this.head !== undefined;
  }

  writeHead(head: ResponseHead): void {
    if (this.head !== undefined) throw new Error("The answer began twice");
    this.head = head;
  }

  push(bytes: Uint8Array): boolean {
    if (this.head === undefined) throw new Error("Written before the head");
    if (this.ended) throw new Error("Written after the end");
    this.#writes += 1;
    if (this.#writes > this.goneAfter) return false;
    this.body += Buffer.from(bytes).toString("utf8");
    for (const { text, wake } of this.#waiting) {
      if (this.body.includes(text)) wake();
    }
    return true;
  }

  drained(): Effect.Effect<void, CallerGone> {
    if (this.#writes <= this.goneAfter) return Effect.void;
    return Effect.fail({ _tag: "CallerGone", reason: "closed" });
  }

  write(bytes: Uint8Array): Effect.Effect<void, CallerGone> {
    return this.push(bytes) ? Effect.void : this.drained();
  }

  end(): void {
    if (this.ended) throw new Error("Ended twice");
    this.ended = true;
  }

  abort(problem: Problem): void {
    this.broken = problem;
  }

  refuse(problem: Problem): void {
    if (this.headersSent) throw new Error("Refused after the head");
    this.problem = problem;
  }

  /** Ends when the text has been written. */
  has(text: string): Promise<void> {
    if (this.body.includes(text)) return Promise.resolve();
    return new Promise((wake) => this.#waiting.push({ text, wake }));
  }

  header(name: string): string | undefined {
    return this.head?.headers.find((each) => each.name === name)?.value;
  }
}
