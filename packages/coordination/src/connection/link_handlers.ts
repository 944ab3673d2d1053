/**
 * Runs the message handlers of one link.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Fiber from "effect/Fiber";
import type * as Scope from "effect/Scope";
import type { MessageHandler } from "../process/peers.ts";
import type { Answer, Failure, Request, Send } from "./link_message.ts";

/** Settings of {@linkcode LinkHandlers}. */
export interface LinkHandlersOptions {
  readonly peer: string;
  readonly handlers: ReadonlyMap<string, MessageHandler>;
  /** Maximum number of handlers in progress at once. */
  readonly limit: number;
  /** Scope of the handlers of one-way messages, which outlive the link. */
  readonly scope: Scope.Scope;
  /** Sends the response or the failure of a request. */
  readonly reply: (message: Answer | Failure) => void;
}

/** Runs a bounded number of handlers, each in its own fiber. */
export class LinkHandlers {
  readonly #options: LinkHandlersOptions;
  readonly #running = new Map<number, Fiber.Fiber<unknown>>();
  readonly #cancelled = new Set<number>();
  #inProgress = 0;

  constructor(options: LinkHandlersOptions) {
    this.#options = options;
  }

  /** Whether the peer is waiting for a response. */
  get hasRunningRequests(): boolean {
    return this.#running.size > 0;
  }

  /** Handles a one-way message; drops it if the limit is reached. */
  handleSend(message: Send): Effect.Effect<void> {
    const { handlers, peer, scope } = this.#options;
    const handler = handlers.get(message.channel);
    if (handler === undefined || this.#isAtLimit()) return Effect.void;
    this.#inProgress += 1;
    return Effect.suspend(() => handler(peer, message.body)).pipe(
      Effect.onExit(() =>
        Effect.sync(() => {
          this.#inProgress -= 1;
        })
      ),
      Effect.forkIn(scope),
      Effect.asVoid,
    );
  }

  /**
   * Handles a request; its handler is interrupted when the given scope closes.
   */
  handleRequest(message: Request, scope: Scope.Scope): Effect.Effect<void> {
    const { handlers, peer, reply } = this.#options;
    const { id } = message;
    const handler = handlers.get(message.channel);
    if (handler === undefined) {
      reply({ kind: "failure", id, reason: "no-handler" });
      return Effect.void;
    }
    // Refusing avoids a deadlock that backpressure could cause: if both ends
    // stopped reading until their handlers were done, and those handlers waited
    // for responses on this same link, neither end would read again.
    if (this.#isAtLimit()) {
      reply({ kind: "failure", id, reason: "busy" });
      return Effect.void;
    }
    this.#inProgress += 1;
    return Effect.suspend(() => handler(peer, message.body)).pipe(
      Effect.onExit((exit) => Effect.sync(() => this.#finish(id, exit))),
      Effect.forkIn(scope),
      Effect.tap((fiber) =>
        Effect.sync(() => {
          if (fiber.pollUnsafe() === undefined) this.#running.set(id, fiber);
        })
      ),
      Effect.asVoid,
    );
  }

  /** Interrupts the handler of a request that the peer has cancelled. */
  cancel(id: number, scope: Scope.Scope): Effect.Effect<void> {
    const fiber = this.#running.get(id);
    if (fiber === undefined) return Effect.void;
    this.#cancelled.add(id);
    return Fiber.interrupt(fiber).pipe(Effect.forkIn(scope), Effect.asVoid);
  }

  #finish(id: number, exit: Exit.Exit<unknown>): void {
    this.#inProgress -= 1;
    this.#running.delete(id);
    if (this.#cancelled.delete(id)) return;
    this.#options.reply(
      Exit.isSuccess(exit)
        ? { kind: "answer", id, body: exit.value }
        : { kind: "failure", id, reason: "handler-failed" },
    );
  }

  #isAtLimit(): boolean {
    return this.#inProgress >= this.#options.limit;
  }
}
