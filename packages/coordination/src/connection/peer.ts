/**
 * Manages the links to one other member: dialling with backoff, choosing among
 * several links, and reporting whether the member is up or down.
 *
 * @module
 */
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import type { Endpoint } from "../process/endpoint.ts";
import { dial } from "./dial.ts";
import { FrameReader, linkClosed } from "./frame.ts";
import type { LinkClosed } from "./frame.ts";
import { dialHandshake, MAX_HANDSHAKE_FRAME_BYTES } from "./handshake.ts";
import type { Identity } from "./handshake.ts";
import { Link } from "./link.ts";
import type { LinkContext } from "./link.ts";
import type { Send } from "./link_message.ts";
import type { PeerUnreachable } from "../process/peers.ts";
import { peerUnreachable } from "../process/peers.ts";

/** What a peer and its links use of the process. */
export interface PeerContext extends LinkContext {
  readonly key: Uint8Array;
  self(): Identity;
  resolve(name: string): Endpoint | undefined;
  stateChanged(peer: string, state: "up" | "down"): void;
}

type LinkWaiter = (result: Effect.Effect<Link, PeerUnreachable>) => void;

/**
 * The links to one other member. There is usually one link; there are two when
 * both ends dial at the same time or while a silent link is being replaced.
 */
export class Peer {
  readonly #name: string;
  readonly #context: PeerContext;
  readonly #links = new Set<Link>();
  readonly #linkWaiters = new Set<LinkWaiter>();
  #queued: Send[] = [];
  #dialling = false;
  #isUp = false;
  #stopped = false;
  #retryAt = Number.NEGATIVE_INFINITY;
  #backoffMs: number;

  constructor(name: string, context: PeerContext) {
    this.#name = name;
    this.#context = context;
    this.#backoffMs = context.settings.minBackoffMs;
  }

  /**
   * Whether this object holds no link, dial or backoff, and may be discarded.
   */
  get isDisposable(): boolean {
    if (this.#links.size > 0 || this.#dialling) return false;
    return this.#context.clock.monotonic() >= this.#retryAt;
  }

  /**
   * Sends a message immediately, or queues it while a link is being dialled.
   *
   * @returns false if the message is dropped.
   */
  send(message: Send): boolean {
    const link = this.#preferredLink();
    if (link !== undefined) return link.trySend(message);
    if (!this.#canDial()) return false;
    if (this.#queued.length >= this.#context.settings.maxWaiting) return false;
    this.#queued.push(message);
    this.#startDialling();
    return true;
  }

  /** Returns a usable link, and dials one if there is none. */
  acquireLink(): Effect.Effect<Link, PeerUnreachable> {
    return Effect.callback((resume) => {
      const link = this.#preferredLink();
      if (link !== undefined) return resume(Effect.succeed(link));
      if (!this.#canDial()) {
        return resume(Effect.fail(peerUnreachable(this.#name, "no-link")));
      }
      this.#linkWaiters.add(resume);
      this.#startDialling();
      return Effect.sync(() => {
        this.#linkWaiters.delete(resume);
      });
    });
  }

  /** Serves an established link until it closes. */
  serve(link: Link, reader: FrameReader): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#isOutdated(link)) {
        link.close(linkClosed("refused", "older incarnation"));
        return Effect.void;
      }
      this.#addLink(link);
      return link.serve(reader).pipe(
        Effect.onExit(() => Effect.sync(() => this.#links.delete(link))),
        Effect.map((reason) => this.#linkEnded(link, reason)),
      );
    });
  }

  /** Sends due heartbeats and closes silent or idle links. */
  tick(): void {
    for (const link of [...this.#links]) link.tick();
  }

  /** Restarts the silence time-outs of all links. */
  resetSilenceTimers(): void {
    for (const link of this.#links) link.resetSilenceTimer();
  }

  /** Closes all links and prevents further dials. */
  stop(): void {
    this.#stopped = true;
    for (const link of [...this.#links]) link.close(linkClosed("stopped"));
  }

  /**
   * Returns the link to use. Both ends must prefer the same one of two links,
   * or neither becomes idle. Of two links dialled at the same time they prefer
   * the one whose dialler has the lower name; otherwise the newer one, since
   * the end that dialled again has abandoned the older one.
   */
  #preferredLink(): Link | undefined {
    let best: Link | undefined;
    for (const link of this.#links) {
      if (!link.isUsable) continue;
      if (best === undefined || this.#prefers(link, best)) best = link;
    }
    return best;
  }

  /** Whether one of two usable links is preferred to the other. */
  #prefers(link: Link, other: Link): boolean {
    const newerMs = link.establishedAt - other.establishedAt;
    const simultaneous =
      Math.abs(newerMs) <= this.#context.settings.dialTimeoutMs;
    return simultaneous && link.dialler !== other.dialler
      ? link.dialler < other.dialler
      : newerMs >= 0;
  }

  /**
   * Whether a link belongs to an earlier incarnation, whose frames must be
   * ignored.
   */
  #isOutdated(link: Link): boolean {
    for (const other of this.#links) {
      if (other.incarnation > link.incarnation) return true;
    }
    return false;
  }

  #addLink(link: Link): void {
    for (const other of [...this.#links]) {
      if (other.incarnation < link.incarnation) {
        other.close(linkClosed("refused", "older incarnation"));
      }
    }
    this.#links.add(link);
    this.#backoffMs = this.#context.settings.minBackoffMs;
    this.#retryAt = Number.NEGATIVE_INFINITY;
    this.#setState(true);
    const messages = this.#queued;
    this.#queued = [];
    for (const message of messages) link.trySend(message);
    for (const resume of [...this.#linkWaiters]) resume(Effect.succeed(link));
    this.#linkWaiters.clear();
  }

  /**
   * Redials a link that failed while active before reporting the member as
   * down: a device on the path may have dropped the state of one connection
   * while both ends are alive and new connections work.
   */
  #linkEnded(link: Link, reason: LinkClosed): void {
    if (this.#stopped || reason.reason === "idle") return;
    if (this.#preferredLink() !== undefined) return;
    if (link.isActive && this.#canDial()) return this.#startDialling();
    this.#setState(false);
  }

  #canDial(): boolean {
    if (this.#stopped) return false;
    if (this.#dialling) return true;
    return this.#context.clock.monotonic() >= this.#retryAt;
  }

  #startDialling(): void {
    if (this.#dialling) return;
    this.#dialling = true;
    Effect.runFork(this.#dial().pipe(Effect.forkIn(this.#context.scope)));
  }

  /** Dials a connection and serves its link until it closes. */
  #dial(): Effect.Effect<void> {
    return this.#connect().pipe(
      Effect.matchEffect({
        onFailure: () => Effect.sync(() => this.#dialFailed()),
        onSuccess: ({ link, reader }) => {
          this.#dialling = false;
          return this.serve(link, reader);
        },
      }),
    );
  }

  #connect(): Effect.Effect<
    { readonly link: Link; readonly reader: FrameReader },
    LinkClosed
  > {
    const context = this.#context;
    const endpoint = context.resolve(this.#name);
    if (endpoint === undefined) return Effect.fail(linkClosed("refused"));
    return dial(endpoint).pipe(
      Effect.flatMap((socket) => this.#authenticate(socket)),
      Effect.timeoutOrElse({
        duration: context.settings.dialTimeoutMs,
        orElse: () => Effect.fail(linkClosed("silent", "dial")),
      }),
    );
  }

  #authenticate(socket: Socket) {
    const context = this.#context;
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const self = context.self();
    const options = { socket, reader, key: context.key, self };
    return dialHandshake(options, this.#name).pipe(
      Effect.map((session) => {
        const dialler = self.name;
        const link = new Link(context, { socket, session, dialler });
        return { link, reader };
      }),
      Effect.onError(() => Effect.sync(() => socket.destroy())),
    );
  }

  #dialFailed(): void {
    const { settings, clock } = this.#context;
    this.#dialling = false;
    if (this.#preferredLink() !== undefined) return;
    this.#retryAt = clock.monotonic() + this.#backoffMs;
    this.#backoffMs = Math.min(this.#backoffMs * 2, settings.maxBackoffMs);
    this.#queued = [];
    const failure = Effect.fail(peerUnreachable(this.#name, "no-link"));
    for (const resume of [...this.#linkWaiters]) resume(failure);
    this.#linkWaiters.clear();
    this.#setState(false);
  }

  #setState(isUp: boolean): void {
    if (this.#isUp === isUp) return;
    this.#isUp = isUp;
    this.#context.stateChanged(this.#name, isUp ? "up" : "down");
  }
}
