/**
 * Events of a runner's stream on their way to the caller.
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
 * The stream of one answer, from one runner or from several in turn. Events
 * that the caller already has are left out when a later runner repeats them.
 */
export class StreamRelay {
  readonly #body: StreamBody;
  readonly #dialect: Dialect;
  /** Before any event, the last one that the caller says it has. */
  #lastId: number | undefined;
  #events = 0;

  constructor(
    response: ServerResponse,
    options: {
      readonly dialect: Dialect;
      readonly lastEventId: number | undefined;
    },
  ) {
    this.#body = new StreamBody(response);
    this.#dialect = options.dialect;
    this.#lastId = options.lastEventId;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): number | undefined {
    return this.#lastId;
  }

  /** Events that were passed on. */
  get eventCount(): number {
    return this.#events;
  }

  /**
   * Passes on a runner's events until its answer ends.
   *
   * @param onEvent called before each event, at the first one to write the head.
   */
  relay(incoming: IncomingMessage, onEvent: () => void): Promise<StreamEnd> {
    const splitter = new EventSplitter();
    return new Promise((resolve) => {
      const broken = (reason: string) => resolve({ kind: "broken", reason });
      incoming.on("data", (chunk: Buffer) => {
        for (const event of splitter.push(chunk)) {
          onEvent();
          if (!this.#pass(event)) this.#pause(incoming);
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

  #pass(event: Buffer): boolean {
    const id = this.#dialect.eventId(event.toString("latin1"));
    if (id !== undefined) {
      if (this.#lastId !== undefined && id <= this.#lastId) return true;
      this.#lastId = id;
    }
    this.#events += 1;
    return this.#body.write(event);
  }

  #pause(incoming: IncomingMessage): void {
    incoming.pause();
    this.#body.onceDrained(() => incoming.resume());
  }
}
