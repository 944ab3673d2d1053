/**
 * One authenticated TCP connection to another member: sends and dispatches
 * messages, matches responses to requests, and handles heartbeats and closing.
 *
 * @module
 */
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import type { Clock } from "../process/clock.ts";
import { fromResult } from "../process/result.ts";
import type { TrafficCounter } from "../process/traffic.ts";
import type { FrameReader, LinkClosed } from "./frame.ts";
import { LENGTH_BYTES, linkClosed } from "./frame.ts";
import { LinkHandlers } from "./link_handlers.ts";
import { LinkActivity } from "./link_liveness.ts";
import type { LinkMessage, Request, Send } from "./link_message.ts";
import { decodeLinkMessage, encodeLinkMessage } from "./link_message.ts";
import type { LinkSettings } from "./link_settings.ts";
import type { MessageHandler, PeerUnreachable } from "../process/peers.ts";
import { peerUnreachable } from "../process/peers.ts";
import { LinkWriter } from "./link_writer.ts";
import type { Session } from "./session.ts";

/** Services of the process that a link uses. */
export interface LinkContext {
  readonly clock: Clock;
  readonly settings: LinkSettings;
  readonly traffic: TrafficCounter;
  readonly handlers: ReadonlyMap<string, MessageHandler>;
  /** Scope of the handlers of one-way messages, which outlive the link. */
  readonly scope: Scope.Scope;
  /** Returns the digest to send in a heartbeat. */
  digest(): unknown;
  /** Called with the digest of another member's heartbeat. */
  receiveDigest(from: string, digest: unknown): void;
}

type ResumeRequest = (result: Effect.Effect<unknown, PeerUnreachable>) => void;

/**
 * A connection to another member, from the end of its handshake until it
 * closes.
 */
export class Link {
  readonly peer: string;
  readonly incarnation: number;
  /** Name of the member that dialled the connection. */
  readonly dialler: string;
  readonly establishedAt: number;
  readonly #context: LinkContext;
  readonly #socket: Socket;
  readonly #session: Session;
  readonly #writer: LinkWriter;
  readonly #activity: LinkActivity;
  readonly #handlers: LinkHandlers;
  readonly #pendingRequests = new Map<number, ResumeRequest>();
  #nextId = 1;
  #drainingSince: number | undefined;
  #goodbyeReceived = false;
  #closed: LinkClosed | undefined;

  constructor(
    context: LinkContext,
    connection: {
      readonly socket: Socket;
      readonly session: Session;
      readonly dialler: string;
    },
  ) {
    this.#context = context;
    this.#socket = connection.socket;
    this.#session = connection.session;
    this.peer = connection.session.peer;
    this.incarnation = connection.session.incarnation;
    this.dialler = connection.dialler;
    this.establishedAt = context.clock.monotonic();
    this.#writer = new LinkWriter({
      socket: connection.socket,
      signer: connection.session.signer,
      traffic: context.traffic,
      maxFrameBytes: context.settings.maxFrameBytes,
    });
    this.#activity = new LinkActivity(context.settings, context.clock);
    this.#handlers = new LinkHandlers({
      peer: this.peer,
      handlers: context.handlers,
      limit: context.settings.maxInProgress,
      scope: context.scope,
      reply: (message) => {
        this.#recordMessage();
        this.#sendControl(message);
      },
    });
  }

  /** Whether new messages may be sent. */
  get isUsable(): boolean {
    return this.#closed === undefined && this.#drainingSince === undefined;
  }

  /**
   * Whether messages other than heartbeats passed recently, or a request is in
   * progress.
   */
  get isActive(): boolean {
    return this.#activity.isActive(this.#hasRequestsInProgress);
  }

  /**
   * Sends a message.
   *
   * @returns false when the link is draining or closed, the message is larger
   * than a frame, or the send queue is full.
   */
  trySend(message: Send | Request): boolean {
    if (!this.isUsable) return false;
    const { maxQueuedBytes } = this.#context.settings;
    const payload = encodeLinkMessage(message);
    if (!this.#writer.fitsFrame(payload)) return false;
    if (this.#writer.queuedBytes + payload.length > maxQueuedBytes) {
      return false;
    }
    this.#recordMessage();
    this.#write(payload);
    return true;
  }

  /** Sends a request and waits for its response, without a time-out. */
  request(
    channel: string,
    body: unknown,
  ): Effect.Effect<unknown, PeerUnreachable> {
    return Effect.callback((resume) => {
      const id = this.#nextId;
      this.#nextId += 1;
      if (!this.trySend({ kind: "request", id, channel, body })) {
        resume(Effect.fail(peerUnreachable(this.peer, "no-link")));
        return;
      }
      this.#pendingRequests.set(id, resume);
      return Effect.sync(() => {
        if (!this.#pendingRequests.delete(id)) return;
        this.#sendControl({ kind: "cancel", id });
      });
    });
  }

  /** Reads and dispatches frames until the link closes. */
  serve(reader: FrameReader): Effect.Effect<LinkClosed> {
    const context = this.#context;
    reader.setMaxFrameBytes(context.settings.maxFrameBytes);
    const run = Effect.gen({ self: this }, function* () {
      const requestScope = yield* Effect.scope;
      while (true) {
        const frame = yield* reader.next();
        context.traffic.addReceived(frame.length + LENGTH_BYTES);
        const payload = yield* fromResult(this.#session.verifier.verify(frame));
        const message = yield* fromResult(decodeLinkMessage(payload));
        this.#activity.recordReceived();
        yield* this.#dispatch(message, requestScope);
      }
    });
    return Effect.scoped(run).pipe(
      Effect.flip,
      // Once the peer has sent its goodbye, the end of the stream is an orderly
      // close, even if it is read before this end has closed its own side.
      Effect.map((reason) =>
        this.#goodbyeReceived ? linkClosed("idle") : reason
      ),
      Effect.map((reason) => this.#closed ?? reason),
      Effect.onExit((exit) =>
        Effect.sync(() =>
          this.close(Exit.isSuccess(exit) ? exit.value : linkClosed("stopped"))
        )
      ),
    );
  }

  /** Closes the link at once and fails its pending requests. */
  close(reason: LinkClosed): void {
    if (this.#closed !== undefined) return;
    this.#closed = reason;
    this.#socket.destroy();
    const pending = [...this.#pendingRequests.values()];
    this.#pendingRequests.clear();
    for (const resume of pending) {
      resume(Effect.fail(peerUnreachable(this.peer, "closed")));
    }
  }

  /**
   * Stops sending new messages, and closes the link once the peer has sent its
   * goodbye and no request is in progress. Messages that the peer sent before
   * it received this end's goodbye are still handled, so that closing an idle
   * link loses no message.
   */
  drain(): void {
    if (!this.isUsable) return;
    this.#sendControl({ kind: "goodbye" });
    this.#drainingSince = this.#context.clock.monotonic();
  }

  /** Restarts the silence time-out, after a pause of this process. */
  resetSilenceTimer(): void {
    this.#activity.recordReceived();
  }

  /** Sends a heartbeat if one is due, and closes a silent or idle link. */
  tick(): void {
    if (this.#closed !== undefined) return;
    if (this.#drainingSince !== undefined) return this.#tickDraining();
    if (this.#activity.isHeartbeatDue(this.#hasRequestsInProgress)) {
      this.#sendControl({ kind: "heartbeat", digest: this.#context.digest() });
    }
    const liveness = this.#activity.liveness(this.#hasRequestsInProgress);
    if (liveness === "silent") this.close(linkClosed("silent"));
    if (liveness === "idle") this.drain();
  }

  #tickDraining(): void {
    const now = this.#context.clock.monotonic();
    const since = this.#drainingSince ?? now;
    if (this.#goodbyeReceived && !this.#hasRequestsInProgress) {
      this.#closed = linkClosed("idle");
      this.#socket.end();
    } else if (now - since > this.#context.settings.idleMs) {
      this.close(linkClosed("idle"));
    }
  }

  #dispatch(
    message: LinkMessage,
    requestScope: Scope.Scope,
  ): Effect.Effect<void> {
    switch (message.kind) {
      case "send":
        this.#recordMessage();
        return this.#handlers.handleSend(message);
      case "request":
        this.#recordMessage();
        return this.#handlers.handleRequest(message, requestScope);
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
        return this.#handlers.cancel(message.id, requestScope);
      case "heartbeat":
        return Effect.sync(() =>
          this.#context.receiveDigest(this.peer, message.digest)
        );
      case "goodbye":
        return Effect.sync(() => {
          this.#goodbyeReceived = true;
          this.drain();
        });
    }
  }

  #settle(
    id: number,
    result: Effect.Effect<unknown, PeerUnreachable>,
  ): Effect.Effect<void> {
    this.#recordMessage();
    const resume = this.#pendingRequests.get(id);
    this.#pendingRequests.delete(id);
    resume?.(result);
    return Effect.void;
  }

  /** Whether either end is waiting for a response. */
  get #hasRequestsInProgress(): boolean {
    return this.#pendingRequests.size > 0 || this.#handlers.hasRunningRequests;
  }

  #recordMessage(): void {
    this.#activity.recordMessage(this.#hasRequestsInProgress);
  }

  /**
   * Sends a control message or a response. These are exempt from the bound of
   * the send queue, since a lost response would cost the requester its whole
   * time-out. If the queue reaches twice the bound, the peer is not reading and
   * the link is closed.
   */
  #sendControl(message: LinkMessage): void {
    if (this.#closed !== undefined) return;
    const payload = encodeLinkMessage(message);
    if (this.#writer.fitsFrame(payload)) {
      this.#write(payload);
    } else if (message.kind === "answer") {
      const { id } = message;
      this.#sendControl({ kind: "failure", id, reason: "handler-failed" });
    }
    if (this.#writer.queuedBytes > 2 * this.#context.settings.maxQueuedBytes) {
      this.close(
        linkClosed(
          "refused",
          "peer is not reading: send queue over twice its limit",
        ),
      );
    }
  }

  #write(payload: Uint8Array): void {
    this.#activity.recordSent();
    this.#writer.write(payload);
  }
}
