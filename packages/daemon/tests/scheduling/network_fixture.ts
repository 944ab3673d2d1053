/**
 * Links between in-process daemons, which tests cut.
 *
 * @module
 */
import type { MessageHandler, Peers } from "@umbermast/coordination";
import * as Effect from "effect/Effect";

/** Links between in-process daemons, which tests cut. */
export class TestNetwork {
  readonly #handlers = new Map<string, Map<string, MessageHandler>>();
  readonly #cut = new Set<string>();
  /** Messages delivered. */
  delivered = 0;

  /** Loses all that goes from one to the other, without a sign. */
  cut(from: string, to: string): void {
    this.#cut.add(`${from} ${to}`);
  }

  /** Loses all that goes to or from a daemon. */
  isolate(name: string): void {
    this.#cut.add(name);
  }

  mend(): void {
    this.#cut.clear();
  }

  peersOf(self: string): Peers {
    const handlers = new Map<string, MessageHandler>();
    this.#handlers.set(self, handlers);
    return {
      send: (to, channel, message) =>
        this.#send(self, { to, channel, message }),
      request: () =>
        Effect.fail({ _tag: "PeerUnreachable", peer: "", reason: "no-link" }),
      handle: (channel, handler) => {
        handlers.set(channel, handler);
      },
      subscribe: () => () => {},
    };
  }

  #send(
    from: string,
    sent: {
      readonly to: string;
      readonly channel: string;
      readonly message: unknown;
    },
  ): boolean {
    const { to, channel, message } = sent;
    const cut = [from, to, `${from} ${to}`].some((it) => this.#cut.has(it));
    if (cut) return true;
    const copy: unknown = structuredClone(message);
    setImmediate(() => {
      const handler = this.#handlers.get(to)?.get(channel);
      if (handler === undefined) return;
      this.delivered += 1;
      Effect.runSync(handler(from, copy));
    });
    return true;
  }
}
