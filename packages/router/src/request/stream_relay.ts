/**
 * Relays the events of a runner's stream to the caller.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Dialect } from "./dialect.ts";
import { EventSplitter } from "./event_splitter.ts";
import { StreamBody } from "./stream_body.ts";

/** How a stream ended. */
export type StreamEnd =
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string };

/**
 * Relays the stream of one response, from one runner or from several in turn.
 * Events that the caller already has are dropped when a later runner repeats
 * them.
 */
export class StreamRelay {
  readonly #body: StreamBody;
  readonly #dialect: Dialect;
  /** Initially the last event that the caller states to have received. */
  #lastEventId: number | undefined;
  #eventCount = 0;

  constructor(
    response: ServerResponse,
    options: {
      readonly dialect: Dialect;
      readonly lastEventId: number | undefined;
    },
  ) {
    this.#body = new StreamBody(response);
    this.#dialect = options.dialect;
    this.#lastEventId = options.lastEventId;
  }

  /** Id of the last event relayed. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Number of events relayed. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /**
   * Relays a runner's events until its response ends.
   *
   * @param onEvent called before each event; writes the head at the first one.
   */
  relay(incoming: IncomingMessage, onEvent: () => void): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    return new Promise((resolve) => {
      const broken = (reason: string) => resolve({ kind: "broken", reason });
      incoming.on("data", (chunk: Buffer) => {
        for (const event of splitter.push(chunk)) {
          onEvent();
          if (!this.#write(event)) this.#pause(incoming);
        }
      });
      incoming.on("end", () => {
        if (!incoming.complete) return broken("ended early");
        if (splitter.pending) return broken("ended within an event");
        resolve({ kind: "complete" });
      });
      incoming.on("error", (error) => broken(error.message));
      incoming.on("close", () => broken("closed"));
    });
  }

  #write(event: Buffer): boolean {
    const id = this.#dialect.eventId(event.toString("latin1"));
    if (id !== undefined) {
      if (this.#lastEventId !== undefined && id <= this.#lastEventId) {
        return true;
      }
      this.#lastEventId = id;
    }
    this.#eventCount += 1;
    return this.#body.write(event);
  }

  #pause(incoming: IncomingMessage): void {
    incoming.pause();
    this.#body.onceDrained(() => incoming.resume());
  }
}
