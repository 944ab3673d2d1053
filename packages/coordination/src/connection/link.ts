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

/** What a link uses of its process. */
export interface LinkContext {
  readonly clock: Clock;
  readonly settings: LinkSettings;
  readonly traffic: TrafficCounter;
  readonly handlers: ReadonlyMap<string, MessageHandler>;
  /**
   * Scope in which one-way messages are handled. Their handlers continue after
   * the link has closed.
   */
  readonly scope: Scope.Scope;
  /** Returns the digest, a small record, to send in a heartbeat. */
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
  #nextRequestId = 1;
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
        this.#recordUse();
        this.#sendControl(message);
      },
    });
  }

  /** Whether new messages may be sent. */
  get isUsable(): boolean {
    return this.#closed === undefined && this.#drainingSince === undefined;
  }

  /**
   * Whether one-way messages, requests or responses passed recently, or a
   * request is in progress.
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
    this.#recordUse();
    this.#write(payload);
    return true;
  }

  /**
   * Sends a request and waits for its response. There is no time-out here; the
   * caller applies one.
   */
  request(
    channel: string,
    body: unknown,
  ): Effect.Effect<unknown, PeerUnreachable> {
    return Effect.callback((resume) => {
      const id = this.#nextRequestId;
      this.#nextRequestId += 1;
      if (!this.trySend({ kind: "request", id, channel, body })) {
        // Also if the message is too large or the send queue is full: the
        // request was not sent.
        resume(Effect.fail(peerUnreachable(this.peer, "no-link")));
        return;
      }
      this.#pendingRequests.set(id, resume);
      // On interruption, the peer is asked to cancel the handler.
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
      // The loop ends only by failing with the reason why the link closed.
      Effect.flip,
      // After the peer's goodbye any reason counts as idle. The end of the stream
      // is then an orderly close, even if it is read before this process has
      // closed its own side.
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

  /**
   * Closes the link immediately, without a goodbye, and fails its pending
   * requests.
   */
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
   * Stops sending new messages and sends a goodbye. `tick` closes the link once
   * the peer has sent its goodbye and no request is in progress, or after
   * `idleMs`. Messages that the peer sent before it received this process's
   * goodbye are still handled, so that closing an idle link loses no message.
   */
  drain(): void {
    if (!this.isUsable) return;
    this.#sendControl({ kind: "goodbye" });
    this.#drainingSince = this.#context.clock.monotonic();
  }

  /**
   * Restarts the silence time-out. Called after a pause of this process, during
   * which it could not receive anything.
   */
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
      // Unlike `close`, this lets the socket write its queued data.
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
        this.#recordUse();
        return this.#handlers.handleSend(message);
      case "request":
        this.#recordUse();
        return this.#handlers.handleRequest(message, requestScope);
      case "answer":
        return this.#completeRequest(message.id, Effect.succeed(message.body));
      case "failure": {
        // With "no-handler" and "busy", the peer has not run a handler.
        const reason = message.reason === "handler-failed"
          ? "handler-failed"
          : "refused";
        const failure = peerUnreachable(this.peer, reason);
        return this.#completeRequest(message.id, Effect.fail(failure));
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

  #completeRequest(
    id: number,
    result: Effect.Effect<unknown, PeerUnreachable>,
  ): Effect.Effect<void> {
    this.#recordUse();
    const resume = this.#pendingRequests.get(id);
    this.#pendingRequests.delete(id);
    resume?.(result);
    return Effect.void;
  }

  /** Whether either end is waiting for a response. */
  get #hasRequestsInProgress(): boolean {
    return this.#pendingRequests.size > 0 || this.#handlers.hasRunningRequests;
  }

  /** Records that a message other than a control message passed. */
  #recordUse(): void {
    this.#activity.recordMessage(this.#hasRequestsInProgress);
  }

  /**
   * Sends a control message or a response. These are sent even if the send
   * queue exceeds `maxQueuedBytes`, since a requester whose response is lost
   * would wait for its whole time-out. If the queue exceeds twice that size, the
   * peer reads too slowly or not at all, and the link is closed.
   */
  #sendControl(message: LinkMessage): void {
    if (this.#closed !== undefined) return;
    const payload = encodeLinkMessage(message);
    if (this.#writer.fitsFrame(payload)) {
      this.#write(payload);
    } else if (message.kind === "answer") {
      // The response is larger than a frame.
      const { id } = message;
      this.#sendControl({ kind: "failure", id, reason: "handler-failed" });
    }
    if (this.#writer.queuedBytes > 2 * this.#context.settings.maxQueuedBytes) {
      this.close(
        linkClosed(
          "refused",
          "send queue over twice its limit: the peer reads too slowly or not at all",
        ),
      );
    }
  }

  #write(payload: Uint8Array): void {
    this.#activity.recordSent();
    this.#writer.write(payload);
  }
}
