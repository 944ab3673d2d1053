/**
 * One authenticated connection to another member.
 *
 * @module
 */
import process from "node:process";
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Fiber from "effect/Fiber";
import * as Scope from "effect/Scope";
import type { Clock } from "../process/clock.ts";
import { fromResult } from "../process/result.ts";
import type { FrameReader, LinkClosed } from "./frame.ts";
import { linkClosed } from "./frame.ts";
import type { LinkMessage, Request, Send } from "./link_message.ts";
import { decodeLinkMessage, encodeLinkMessage } from "./link_message.ts";
import type { LinkSettings } from "./link_settings.ts";
import type { MessageHandler, PeerUnreachable } from "../process/peers.ts";
import { peerUnreachable } from "../process/peers.ts";
import type { Session } from "./session.ts";

/** What a link needs of the process around it. */
export interface LinkHost {
  readonly clock: Clock;
  readonly settings: LinkSettings;
  readonly handlers: ReadonlyMap<string, MessageHandler>;
  /** Fibres of unanswered messages live here, beyond the link. */
  readonly scope: Scope.Scope;
  /** The digest that heartbeats carry. */
  digest(): unknown;
  /** Takes in the digest of another member. */
  receiveDigest(from: string, digest: unknown): void;
}

type Settle = (result: Effect.Effect<unknown, PeerUnreachable>) => void;

/** One connection, from its handshake to its end. */
export class Link {
  readonly peer: string;
  readonly incarnation: number;
  /** Name of the end that dialled. */
  readonly dialler: string;
  readonly establishedAt: number;
  readonly #host: LinkHost;
  readonly #socket: Socket;
  readonly #session: Session;
  readonly #pending = new Map<number, Settle>();
  readonly #running = new Map<number, Fiber.Fiber<unknown>>();
  readonly #cancelled = new Set<number>();
  #inProgress = 0;
  #nextId = 1;
  #lastHeard: number;
  #lastSent: number;
  #lastUsed: number;
  #activeSince: number;
  #corked = false;
  #drainingSince: number | undefined;
  #goodbyeHeard = false;
  #closed: LinkClosed | undefined;

  constructor(
    host: LinkHost,
    connection: {
      readonly socket: Socket;
      readonly session: Session;
      readonly dialler: string;
    },
  ) {
    const now = host.clock.monotonic();
    this.#host = host;
    this.#socket = connection.socket;
    this.#session = connection.session;
    this.peer = connection.session.peer;
    this.incarnation = connection.session.incarnation;
    this.dialler = connection.dialler;
    this.establishedAt = now;
    this.#lastHeard = now;
    this.#lastSent = now;
    this.#lastUsed = now;
    this.#activeSince = now;
  }

  /** Whether new messages may be sent. */
  get usable(): boolean {
    return this.#closed === undefined && this.#drainingSince === undefined;
  }

  /** Whether messages other than heartbeats passed lately, or are awaited. */
  get active(): boolean {
    if (this.#pending.size > 0 || this.#running.size > 0) return true;
    const since = this.#host.clock.monotonic() - this.#lastUsed;
    return since < this.#host.settings.activeMs;
  }

  /** Sends a message; false when the outgoing queue is full or the link closed. */
  post(message: Send | Request): boolean {
    if (!this.usable) return false;
    const payload = encodeLinkMessage(message);
    const queued = this.#socket.writableLength + payload.length;
    if (queued > this.#host.settings.maxQueuedBytes) return false;
    this.#use();
    this.#write(payload);
    return true;
  }

  /** Sends a request and waits for its answer, however long that takes. */
  request(
    channel: string,
    body: unknown,
  ): Effect.Effect<unknown, PeerUnreachable> {
    return Effect.callback((resume) => {
      const id = this.#nextId;
      this.#nextId += 1;
      if (!this.post({ kind: "request", id, channel, body })) {
        resume(Effect.fail(peerUnreachable(this.peer, "no-link")));
        return;
      }
      this.#pending.set(id, resume);
      return Effect.sync(() => {
        if (!this.#pending.delete(id)) return;
        this.#control({ kind: "cancel", id });
      });
    });
  }

  /** Reads and dispatches frames until the link ends. */
  serve(reader: FrameReader): Effect.Effect<LinkClosed> {
    const host = this.#host;
    reader.setLimit(host.settings.maxFrameBytes);
    const run = Effect.gen({ self: this }, function* () {
      const requests = yield* Effect.scope;
      while (true) {
        const frame = yield* reader.next();
        const payload = yield* fromResult(this.#session.opener.open(frame));
        const message = yield* fromResult(decodeLinkMessage(payload));
        this.#lastHeard = host.clock.monotonic();
        yield* this.#dispatch(message, requests);
      }
    });
    return Effect.scoped(run).pipe(
      Effect.flip,
      Effect.map((reason) => this.#closed ?? reason),
      Effect.onExit((exit) =>
        Effect.sync(() =>
          this.close(Exit.isSuccess(exit) ? exit.value : linkClosed("stopped"))
        )
      ),
    );
  }

  /** Ends the link at once. Requests that wait on it fail. */
  close(reason: LinkClosed): void {
    if (this.#closed !== undefined) return;
    this.#closed = reason;
    this.#socket.destroy();
    const waiting = [...this.#pending.values()];
    this.#pending.clear();
    for (const settle of waiting) {
      settle(Effect.fail(peerUnreachable(this.peer, "closed")));
    }
  }

  /**
   * Stops new messages on this link, and ends it once the other end has agreed
   * and nothing is awaited. What the other end sent before it knew still
   * arrives, so that closing an idle link loses no message.
   */
  drain(): void {
    if (!this.usable) return;
    this.#control({ kind: "goodbye" });
    this.#drainingSince = this.#host.clock.monotonic();
  }

  /** Ignores the silence so far: it was ours, not the other end's. */
  forgiveSilence(): void {
    this.#lastHeard = this.#host.clock.monotonic();
  }

  /** Sends a heartbeat if one is due, and ends the link if it is silent or idle. */
  tick(): void {
    if (this.#closed !== undefined) return;
    const { settings, clock } = this.#host;
    const now = clock.monotonic();
    if (this.#drainingSince !== undefined) return this.#tickDraining(now);
    const active = this.active;
    const interval = active ? settings.heartbeatMs : settings.idleHeartbeatMs;
    if (now - this.#lastSent >= interval) {
      this.#control({ kind: "heartbeat", digest: this.#host.digest() });
    }
    const silentMs = active
      ? settings.silentMs
      : settings.idleHeartbeatMs + settings.silentMs;
    // The far end learns that the link is in use again only from our message,
    // so silence is counted from that message at the earliest.
    const heard = Math.max(this.#lastHeard, active ? this.#activeSince : 0);
    if (now - heard > silentMs) return this.close(linkClosed("silent"));
    if (now - this.#lastUsed > settings.idleMs && !active) this.drain();
  }

  #tickDraining(now: number): void {
    const drained = this.#goodbyeHeard && this.#pending.size === 0 &&
      this.#running.size === 0;
    const since = this.#drainingSince ?? now;
    if (drained) {
      this.#closed = linkClosed("idle");
      this.#socket.end();
    } else if (now - since > this.#host.settings.idleMs) {
      this.close(linkClosed("idle"));
    }
  }

  #dispatch(
    message: LinkMessage,
    requests: Scope.Scope,
  ): Effect.Effect<void> {
    switch (message.kind) {
      case "send":
        return this.#receive(message);
      case "request":
        return this.#answer(message, requests);
      case "answer":
        return this.#settle(message.id, Effect.succeed(message.body));
      case "failure": {
        const reason = message.reason === "handler-failed"
          ? "handler-failed"
          : "refused";
        const failure = peerUnreachable(this.peer, reason);
        return this.#settle(message.id, Effect.fail(failure));
      }
      case "cancel":
        return this.#cancel(message.id, requests);
      case "heartbeat":
        return Effect.sync(() =>
          this.#host.receiveDigest(this.peer, message.digest)
        );
      case "goodbye":
        return Effect.sync(() => {
          this.#goodbyeHeard = true;
          this.drain();
        });
    }
  }

  #receive(message: Send): Effect.Effect<void> {
    this.#use();
    const handler = this.#host.handlers.get(message.channel);
    if (handler === undefined || this.#full()) return Effect.void;
    this.#inProgress += 1;
    return Effect.suspend(() => handler(this.peer, message.body)).pipe(
      Effect.onExit(() =>
        Effect.sync(() => {
          this.#inProgress -= 1;
        })
      ),
      Effect.forkIn(this.#host.scope),
      Effect.asVoid,
    );
  }

  #answer(message: Request, requests: Scope.Scope): Effect.Effect<void> {
    this.#use();
    const { id } = message;
    const handler = this.#host.handlers.get(message.channel);
    if (handler === undefined) {
      this.#control({ kind: "failure", id, reason: "no-handler" });
      return Effect.void;
    }
    // Refused rather than held back: if both ends stopped reading until their
    // handlers were done, and those waited for answers on this very link,
    // neither end would ever read again.
    if (this.#full()) {
      this.#control({ kind: "failure", id, reason: "busy" });
      return Effect.void;
    }
    this.#inProgress += 1;
    return Effect.suspend(() => handler(this.peer, message.body)).pipe(
      Effect.onExit((exit) => Effect.sync(() => this.#finish(id, exit))),
      Effect.forkIn(requests),
      Effect.tap((fiber) =>
        Effect.sync(() => {
          if (fiber.pollUnsafe() === undefined) this.#running.set(id, fiber);
        })
      ),
      Effect.asVoid,
    );
  }

  #cancel(id: number, requests: Scope.Scope): Effect.Effect<void> {
    const fiber = this.#running.get(id);
    if (fiber === undefined) return Effect.void;
    this.#cancelled.add(id);
    return Fiber.interrupt(fiber).pipe(Effect.forkIn(requests), Effect.asVoid);
  }

  #finish(id: number, exit: Exit.Exit<unknown>): void {
    this.#inProgress -= 1;
    this.#running.delete(id);
    this.#use();
    if (this.#cancelled.delete(id)) return;
    this.#control(
      Exit.isSuccess(exit)
        ? { kind: "answer", id, body: exit.value }
        : { kind: "failure", id, reason: "handler-failed" },
    );
  }

  #settle(
    id: number,
    result: Effect.Effect<unknown, PeerUnreachable>,
  ): Effect.Effect<void> {
    this.#use();
    const settle = this.#pending.get(id);
    this.#pending.delete(id);
    settle?.(result);
    return Effect.void;
  }

  #full(): boolean {
    return this.#inProgress >= this.#host.settings.maxInProgress;
  }

  #use(): void {
    const now = this.#host.clock.monotonic();
    if (!this.active) this.#activeSince = now;
    this.#lastUsed = now;
  }

  /**
   * Sends what keeps the link going or answers a request. These are let past
   * the queue's bound, since a lost answer costs the requester its timeout; an
   * end that leaves twice the bound unread is given up.
   */
  #control(message: LinkMessage): void {
    if (this.#closed !== undefined) return;
    this.#write(encodeLinkMessage(message));
    if (this.#socket.writableLength > 2 * this.#host.settings.maxQueuedBytes) {
      this.close(linkClosed("refused", "other end does not read"));
    }
  }

  /** Messages of one turn of the event loop share packets. */
  #write(payload: Uint8Array): void {
    this.#lastSent = this.#host.clock.monotonic();
    if (!this.#corked) {
      this.#corked = true;
      this.#socket.cork();
      process.nextTick(() => {
        this.#corked = false;
        this.#socket.uncork();
      });
    }
    this.#socket.write(this.#session.sealer.seal(payload));
  }
}
