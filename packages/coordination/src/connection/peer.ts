/**
 * One other member, and the links to it.
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

/** What the links to one member need of the process around them. */
export interface PeerContext extends LinkContext {
  readonly key: Uint8Array;
  self(): Identity;
  resolve(name: string): Endpoint | undefined;
  stateChanged(peer: string, state: "up" | "down"): void;
}

type LinkWaiter = (result: Effect.Effect<Link, PeerUnreachable>) => void;

/**
 * The links to one member. There is usually one; two while both ends dial each
 * other at once, or while a link that went silent is being replaced.
 */
export class Peer {
  readonly #name: string;
  readonly #context: PeerContext;
  readonly #links = new Set<Link>();
  readonly #linkWaiters = new Set<LinkWaiter>();
  #queuedMessages: Send[] = [];
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

  /** Whether nothing would be lost by forgetting this peer. */
  get isDisposable(): boolean {
    if (this.#links.size > 0 || this.#dialling) return false;
    return this.#context.clock.monotonic() >= this.#retryAt;
  }

  /** Sends now, or as soon as the link is there; false when neither can be. */
  send(message: Send): boolean {
    const link = this.#preferredLink();
    if (link !== undefined) return link.trySend(message);
    if (!this.#canDial()) return false;
    if (this.#queuedMessages.length >= this.#context.settings.maxWaiting) {
      return false;
    }
    this.#queuedMessages.push(message);
    this.#startDialling();
    return true;
  }

  /** A usable link, dialled if there is none. */
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

  /** The task of one established link, until it ends. */
  serve(link: Link, reader: FrameReader): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.#isOutdated(link)) {
        link.close(linkClosed("refused", "older incarnation"));
        return Effect.void;
      }
      this.#add(link);
      return link.serve(reader).pipe(
        Effect.onExit(() => Effect.sync(() => this.#links.delete(link))),
        Effect.map((reason) => this.#linkEnded(link, reason)),
      );
    });
  }

  /** Heartbeats, silence and idleness of the links. */
  tick(): void {
    for (const link of [...this.#links]) link.tick();
  }

  /** Ignores the silence of all links so far. */
  resetSilenceTimers(): void {
    for (const link of this.#links) link.resetSilenceTimer();
  }

  /** Ends all links and dials no more. */
  stop(): void {
    this.#stopped = true;
    for (const link of [...this.#links]) link.close(linkClosed("stopped"));
  }

  /**
   * Both ends must prefer the same of two links, or neither goes idle. Of two
   * dialled at once it is the one whose dialler has the lesser name; of others
   * the newer, since the older was given up by the end that dialled again.
   */
  #preferredLink(): Link | undefined {
    let best: Link | undefined;
    for (const link of this.#links) {
      if (!link.isUsable) continue;
      if (best === undefined || this.#prefers(link, best)) best = link;
    }
    return best;
  }

  #prefers(link: Link, other: Link): boolean {
    const newerMs = link.establishedAt - other.establishedAt;
    const atOnce = Math.abs(newerMs) <= this.#context.settings.dialTimeoutMs;
    return atOnce && link.dialler !== other.dialler
      ? link.dialler < other.dialler
      : newerMs >= 0;
  }

  /** A frame that an earlier start of the member sent must not be acted on. */
  #isOutdated(link: Link): boolean {
    for (const other of this.#links) {
      if (other.incarnation > link.incarnation) return true;
    }
    return false;
  }

  #add(link: Link): void {
    for (const other of [...this.#links]) {
      if (other.incarnation < link.incarnation) {
        other.close(linkClosed("refused", "older incarnation"));
      }
    }
    this.#links.add(link);
    this.#backoffMs = this.#context.settings.minBackoffMs;
    this.#retryAt = Number.NEGATIVE_INFINITY;
    this.#setState(true);
    const messages = this.#queuedMessages;
    this.#queuedMessages = [];
    for (const message of messages) link.trySend(message);
    for (const resume of [...this.#linkWaiters]) resume(Effect.succeed(link));
    this.#linkWaiters.clear();
  }

  /**
   * A link that failed in use is dialled again before the member is called
   * down: what lies between the ends may have lost track of a connection while
   * both ends and new connections are well.
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

  /** The task of a connection that this end dials. */
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
    const host = this.#context;
    const endpoint = host.resolve(this.#name);
    if (endpoint === undefined) return Effect.fail(linkClosed("refused"));
    return dial(endpoint).pipe(
      Effect.flatMap((socket) => this.#authenticate(socket)),
      Effect.timeoutOrElse({
        duration: host.settings.dialTimeoutMs,
        orElse: () => Effect.fail(linkClosed("silent", "dial")),
      }),
    );
  }

  #authenticate(socket: Socket) {
    const host = this.#context;
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const self = host.self();
    const options = { socket, reader, key: host.key, self };
    return dialHandshake(options, this.#name).pipe(
      Effect.map((session) => {
        const dialler = self.name;
        const link = new Link(host, { socket, session, dialler });
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
    this.#queuedMessages = [];
    const failure = Effect.fail(peerUnreachable(this.#name, "no-link"));
    for (const resume of [...this.#linkWaiters]) resume(failure);
    this.#linkWaiters.clear();
    this.#setState(false);
  }

  #setState(up: boolean): void {
    if (this.#isUp === up) return;
    this.#isUp = up;
    this.#context.stateChanged(this.#name, up ? "up" : "down");
  }
}
