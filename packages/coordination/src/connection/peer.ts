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
import { dialHandshake, HANDSHAKE_LIMIT } from "./handshake.ts";
import type { Identity } from "./handshake.ts";
import { Link } from "./link.ts";
import type { LinkHost } from "./link.ts";
import type { Send } from "./link_message.ts";
import type { PeerUnreachable } from "../process/peers.ts";
import { peerUnreachable } from "../process/peers.ts";

/** What the links to one member need of the process around them. */
export interface PeerHost extends LinkHost {
  readonly key: Uint8Array;
  self(): Identity;
  resolve(name: string): Endpoint | undefined;
  changed(peer: string, state: "up" | "down"): void;
}

type Waiter = (result: Effect.Effect<Link, PeerUnreachable>) => void;

/**
 * The links to one member. There is usually one; two while both ends dial each
 * other at once, or while a link that went silent is being replaced.
 */
export class Peer {
  readonly #name: string;
  readonly #host: PeerHost;
  readonly #links = new Set<Link>();
  readonly #waiters = new Set<Waiter>();
  #waiting: Send[] = [];
  #dialling = false;
  #up = false;
  #stopped = false;
  #retryAt = Number.NEGATIVE_INFINITY;
  #backoffMs: number;

  constructor(name: string, host: PeerHost) {
    this.#name = name;
    this.#host = host;
    this.#backoffMs = host.settings.minBackoffMs;
  }

  /** Whether nothing would be lost by forgetting this peer. */
  get disposable(): boolean {
    if (this.#links.size > 0 || this.#dialling) return false;
    return this.#host.clock.monotonic() >= this.#retryAt;
  }

  /** Sends now, or as soon as the link is there; false when neither can be. */
  send(message: Send): boolean {
    const link = this.#best();
    if (link !== undefined) return link.post(message);
    if (!this.#mayDial()) return false;
    if (this.#waiting.length >= this.#host.settings.maxWaiting) return false;
    this.#waiting.push(message);
    this.#startDialling();
    return true;
  }

  /** A usable link, dialled if there is none. */
  link(): Effect.Effect<Link, PeerUnreachable> {
    return Effect.callback((resume) => {
      const link = this.#best();
      if (link !== undefined) return resume(Effect.succeed(link));
      if (!this.#mayDial()) {
        return resume(Effect.fail(peerUnreachable(this.#name, "no-link")));
      }
      this.#waiters.add(resume);
      this.#startDialling();
      return Effect.sync(() => {
        this.#waiters.delete(resume);
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
        Effect.map((reason) => this.#ended(link, reason)),
      );
    });
  }

  /** Heartbeats, silence and idleness of the links. */
  tick(): void {
    for (const link of [...this.#links]) link.tick();
  }

  /** Ignores the silence of all links so far. */
  forgiveSilence(): void {
    for (const link of this.#links) link.forgiveSilence();
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
  #best(): Link | undefined {
    let best: Link | undefined;
    for (const link of this.#links) {
      if (!link.usable) continue;
      if (best === undefined || this.#prefers(link, best)) best = link;
    }
    return best;
  }

  #prefers(link: Link, other: Link): boolean {
    const newerMs = link.establishedAt - other.establishedAt;
    const atOnce = Math.abs(newerMs) <= this.#host.settings.dialTimeoutMs;
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
    this.#backoffMs = this.#host.settings.minBackoffMs;
    this.#retryAt = Number.NEGATIVE_INFINITY;
    this.#setUp(true);
    const messages = this.#waiting;
    this.#waiting = [];
    for (const message of messages) link.post(message);
    for (const resume of [...this.#waiters]) resume(Effect.succeed(link));
    this.#waiters.clear();
  }

  /**
   * A link that failed in use is dialled again before the member is called
   * down: what lies between the ends may have lost track of a connection while
   * both ends and new connections are well.
   */
  #ended(link: Link, reason: LinkClosed): void {
    if (this.#stopped || reason.reason === "idle") return;
    if (this.#best() !== undefined) return;
    if (link.active && this.#mayDial()) return this.#startDialling();
    this.#setUp(false);
  }

  #mayDial(): boolean {
    if (this.#stopped) return false;
    if (this.#dialling) return true;
    return this.#host.clock.monotonic() >= this.#retryAt;
  }

  #startDialling(): void {
    if (this.#dialling) return;
    this.#dialling = true;
    Effect.runFork(this.#dial().pipe(Effect.forkIn(this.#host.scope)));
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
    const host = this.#host;
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
    const host = this.#host;
    const reader = new FrameReader(socket, HANDSHAKE_LIMIT);
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
    const { settings, clock } = this.#host;
    this.#dialling = false;
    if (this.#best() !== undefined) return;
    this.#retryAt = clock.monotonic() + this.#backoffMs;
    this.#backoffMs = Math.min(this.#backoffMs * 2, settings.maxBackoffMs);
    this.#waiting = [];
    const failure = Effect.fail(peerUnreachable(this.#name, "no-link"));
    for (const resume of [...this.#waiters]) resume(failure);
    this.#waiters.clear();
    this.#setUp(false);
  }

  #setUp(up: boolean): void {
    if (this.#up === up) return;
    this.#up = up;
    this.#host.changed(this.#name, up ? "up" : "down");
  }
}
