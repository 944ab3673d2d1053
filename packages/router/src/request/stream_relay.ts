/**
 * Relays the events of a runner's stream to the caller.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { guarded } from "../process/guarded.ts";
import type { AnswerBuffer, PausableSource } from "./answer_buffer.ts";
import type { Dialect } from "./dialect.ts";
import { EventSplitter } from "./event_splitter.ts";
import { StreamBody } from "./stream_body.ts";

/**
 * Bytes from which on a stream counts that is not held: nearly all have less, and
 * their events need no count each.
 */
const MIN_COUNTED_BYTES = 16 * 1024;

/** How a stream ended. */
export type StreamEnd =
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string };

/**
 * Relays the stream of one response, from one runner or from several in turn.
 * Events whose id is not above that of the last event that the caller has are
 * dropped, because a runner may repeat them when a stream is resumed. Events
 * without an id are always relayed.
 */
export class StreamRelay {
  readonly #body: StreamBody;
  readonly #buffer: AnswerBuffer | undefined;
  readonly #holds: boolean;
  /** Whether the runner is paused until the caller has read more. */
  #paused = false;
  /** Bytes that are counted where they are not held. */
  #counted = 0;
  readonly #dialect: Dialect;
  /**
   * Id of the last event relayed; at first, the id of the last event that the
   * caller says it has received.
   */
  #lastEventId: number | undefined;
  #pauseCount = 0;
  #eventCount = 0;

  constructor(
    response: ServerResponse,
    options: {
      readonly dialect: Dialect;
      readonly lastEventId: number | undefined;
      /** Counts what is buffered. */
      readonly buffer?: AnswerBuffer | undefined;
      /**
       * Whether what the caller does not read is held; otherwise the runner is
       * paused for a slow caller.
       */
      readonly holds?: boolean;
    },
  ) {
    const { buffer, holds = buffer !== undefined } = options;
    this.#buffer = buffer;
    this.#holds = holds;
    this.#body = new StreamBody(
      response,
      holds ? (bytes) => buffer?.setUnread(bytes) : undefined,
    );
    this.#dialect = options.dialect;
    this.#lastEventId = options.lastEventId;
  }

  /**
   * Id of the last event that the caller has, relayed or stated by the caller;
   * undefined if there is none.
   */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Number of events relayed from all runners, without the dropped ones. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Number of times that a runner was paused for a slow caller. */
  get pauseCount(): number {
    return this.#pauseCount + (this.#buffer?.pauseCount ?? 0);
  }

  /** Returns a runner's response as it is paused where there is no room. */
  pausable(incoming: IncomingMessage): PausableSource {
    const resume = () => this.#paused ? incoming : incoming.resume();
    return {
      get readableEnded() {
        return incoming.readableEnded;
      },
      pause: () => incoming.pause(),
      resume,
    };
  }

  /** Ends a complete stream once the caller has read it. */
  end(): void {
    this.#body.end();
  }

  /**
   * Relays a runner's events until its response ends. Rejects with what `onEvent`
   * throws.
   *
   * @param listener.onEvent called for each event of the runner, before it is relayed or
   * dropped; at the first one it must write the head of the caller's response.
   * @param listener.onProgress called for each event that is not a repetition of one
   * in the same response.
   */
  relay(
    incoming: IncomingMessage,
    { onEvent, onProgress }: {
      readonly onEvent: () => void;
      readonly onProgress: () => void;
    },
  ): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    let highestId = -Infinity;
    const lastBefore = this.#lastEventId;
    // A response that ends before the last event relayed says nothing of whether the
    // caller has the whole stream.
    let caughtUp = this.#eventCount === 0;
    if (incoming.destroyed) {
      return Promise.resolve({ kind: "broken", reason: "connection closed" });
    }
    return new Promise((resolve, reject) => {
      const resolveBroken = (reason: string) =>
        resolve({ kind: "broken", reason });
      const relayEvents = (chunk: Buffer) => {
        for (const event of splitter.push(chunk)) {
          onEvent();
          const id = this.#dialect.eventId(event.toString("latin1"));
          if (id === undefined || id > highestId) onProgress();
          highestId = Math.max(highestId, id ?? highestId);
          // One without an id, such as a comment, tells nothing of where it stands.
          caughtUp ||= lastBefore === undefined ||
            (id !== undefined && id >= lastBefore);
          if (!this.#write(event, id)) this.#pause(incoming, splitter);
        }
        this.#count(splitter.size);
      };
      incoming.on("data", guarded(relayEvents, reject));
      incoming.on("end", () => {
        if (!incoming.complete) return resolveBroken("incomplete response");
        if (splitter.pending) return resolveBroken("ended within an event");
        if (!caughtUp) {
          return resolveBroken("ended before the last event relayed");
        }
        resolve({ kind: "complete" });
      });
      incoming.on("error", (error) => resolveBroken(error.message));
      // Has no effect after "end" or "error".
      incoming.on("close", () => resolveBroken("connection closed"));
    });
  }

  /**
   * Relays an event, or drops it if the caller has it.
   *
   * @returns false if the runner is to be paused until the caller has read more.
   */
  #write(event: Buffer, id: number | undefined): boolean {
    if (id !== undefined) {
      if (this.#lastEventId !== undefined && id <= this.#lastEventId) {
        return true;
      }
      this.#lastEventId = id;
    }
    this.#eventCount += 1;
    return this.#body.write(event);
  }

  #pause(incoming: IncomingMessage, splitter: EventSplitter): void {
    this.#pauseCount += 1;
    incoming.pause();
    if (this.#paused) return;
    this.#paused = true;
    this.#body.onceDrained(() => {
      this.#paused = false;
      incoming.resume();
      this.#count(splitter.size);
    });
  }

  /** Counts a partial event, and what a paused stream's caller has yet to read. */
  #count(partialBytes: number): void {
    if (this.#holds || this.#buffer === undefined) return;
    const unread = this.#paused ? this.#body.unread : 0;
    const bytes = partialBytes + unread;
    const counted = bytes < MIN_COUNTED_BYTES ? 0 : bytes;
    if (counted === this.#counted) return;
    this.#counted = counted;
    this.#buffer.setUnread(counted);
  }
}
