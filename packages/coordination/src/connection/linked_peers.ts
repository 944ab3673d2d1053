/**
 * Sends messages to other members over links that are dialled on demand.
 *
 * @module
 */
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import * as Scope from "effect/Scope";
import type { Clock } from "../process/clock.ts";
import type { Digest } from "../process/digest.ts";
import type { Endpoint, ListenFailed } from "../process/endpoint.ts";
import type { TrafficCounter } from "../process/traffic.ts";
import { listen } from "./dial.ts";
import { FrameReader, linkClosed } from "./frame.ts";
import type { Identity } from "./handshake.ts";
import { acceptHandshake, MAX_HANDSHAKE_FRAME_BYTES } from "./handshake.ts";
import { Link } from "./link.ts";
import type { LinkContext } from "./link.ts";
import type { LinkSettings } from "./link_settings.ts";
import { Peer } from "./peer.ts";
import type { PeerContext } from "./peer.ts";
import type {
  MessageHandler,
  Peers,
  PeerUnreachable,
} from "../process/peers.ts";
import { peerUnreachable } from "../process/peers.ts";

/** Settings of {@linkcode LinkedPeers}. */
export interface LinkedPeersOptions {
  /** Endpoint to listen on; port 0 selects a free port. */
  readonly endpoint: Endpoint;
  /** The key that all members share. */
  readonly key: Uint8Array;
  readonly settings: LinkSettings;
  readonly clock: Clock;
  readonly digest: Digest;
  readonly traffic: TrafficCounter;
  /** Returns the current identity of this process. */
  self(): Identity;
  /** Returns the endpoint of a member; undefined for an unknown name. */
  resolve(name: string): Endpoint | undefined;
}

/** {@linkcode Peers} over authenticated TCP links. */
export class LinkedPeers implements Peers {
  readonly #options: LinkedPeersOptions;
  readonly #scope: Scope.Scope;
  readonly #peers = new Map<string, Peer>();
  readonly #handlers = new Map<string, MessageHandler>();
  readonly #listeners = new Set<
    (peer: string, state: "up" | "down") => void
  >();
  readonly #context: PeerContext;
  #handshakes = 0;

  /** @internal Use {@linkcode LinkedPeers.make}. */
  constructor(options: LinkedPeersOptions, scope: Scope.Scope) {
    this.#options = options;
    this.#scope = scope;
    const linkContext: LinkContext = {
      clock: options.clock,
      settings: options.settings,
      traffic: options.traffic,
      handlers: this.#handlers,
      scope,
      digest: () => options.digest.read(),
      receiveDigest: (from, digest) => options.digest.receive(from, digest),
    };
    this.#context = {
      ...linkContext,
      key: options.key,
      self: () => options.self(),
      resolve: (name) => options.resolve(name),
      stateChanged: (peer, state) => {
        for (const listener of [...this.#listeners]) listener(peer, state);
      },
    };
  }

  /** Starts listening and maintains links until the scope closes. */
  static readonly make = Effect.fnUntraced(function* (
    options: LinkedPeersOptions,
  ): Effect.fn.Return<
    { readonly peers: LinkedPeers; readonly endpoint: Endpoint },
    ListenFailed,
    Scope.Scope
  > {
    const scope = yield* Effect.scope;
    const peers = new LinkedPeers(options, scope);
    const fork = Effect.runForkWith(yield* Effect.context());
    const endpoint = yield* listen(options.endpoint, (socket) => {
      fork(peers.#accept(socket).pipe(Effect.forkIn(scope)));
    });
    yield* Effect.addFinalizer(() => Effect.sync(() => peers.#stop()));
    yield* peers.#sweep().pipe(Effect.forkScoped);
    return { peers, endpoint };
  });

  /** Sends a one-way message. */
  send(to: string, channel: string, message: unknown): boolean {
    if (to === this.#options.self().name) {
      const handler = this.#handlers.get(channel);
      if (handler === undefined) return false;
      const run = Effect.suspend(() => handler(to, message));
      Effect.runFork(run.pipe(Effect.forkIn(this.#scope)));
      return true;
    }
    return this.#peer(to).send({ kind: "send", channel, body: message });
  }

  /** Sends a request and waits for the response of the peer's handler. */
  request(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
    options: { readonly timeoutMs: number },
  ): Effect.Effect<unknown, PeerUnreachable> {
    return Effect.suspend(() =>
      to === this.#options.self().name
        ? this.#requestSelf(message)
        : this.#requestPeer(to, message)
    ).pipe(
      Effect.timeoutOrElse({
        duration: options.timeoutMs,
        orElse: () => Effect.fail(peerUnreachable(to, "timeout")),
      }),
    );
  }

  /** Sets the handler of a channel. */
  handle(channel: string, handler: MessageHandler): void {
    if (this.#handlers.has(channel)) {
      throw new Error(`Channel "${channel}" already has a handler`);
    }
    this.#handlers.set(channel, handler);
  }

  /** Calls the listener when a member goes up or down. */
  subscribe(
    listener: (peer: string, state: "up" | "down") => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #peer(name: string): Peer {
    const existing = this.#peers.get(name);
    if (existing !== undefined) return existing;
    const peer = new Peer(name, this.#context);
    this.#peers.set(name, peer);
    return peer;
  }

  #requestPeer(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
  ): Effect.Effect<unknown, PeerUnreachable> {
    return this.#peer(to).acquireLink().pipe(
      Effect.flatMap((link) => link.request(message.channel, message.body)),
    );
  }

  #requestSelf(
    message: { readonly channel: string; readonly body: unknown },
  ): Effect.Effect<unknown, PeerUnreachable> {
    const self = this.#options.self().name;
    const handler = this.#handlers.get(message.channel);
    if (handler === undefined) {
      return Effect.fail(peerUnreachable(self, "refused"));
    }
    return handler(self, message.body).pipe(
      Effect.catchDefect(() =>
        Effect.fail(peerUnreachable(self, "handler-failed"))
      ),
    );
  }

  /**
   * Authenticates an accepted connection and serves its link until it closes.
   */
  #accept(socket: Socket): Effect.Effect<void> {
    const { settings, key } = this.#options;
    // Bounds what unauthenticated clients can hold: a connection that sends
    // nothing is closed after the dial time-out, and only so many are open at
    // once.
    if (this.#handshakes >= settings.maxHandshakes) {
      return Effect.sync(() => socket.destroy());
    }
    this.#handshakes += 1;
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const self = this.#options.self();
    return acceptHandshake({ socket, reader, key, self }).pipe(
      Effect.timeoutOrElse({
        duration: settings.dialTimeoutMs,
        orElse: () => Effect.fail(linkClosed("silent", "handshake")),
      }),
      Effect.ensuring(Effect.sync(() => {
        this.#handshakes -= 1;
      })),
      Effect.flatMap((session) => {
        const dialler = session.peer;
        const link = new Link(this.#context, { socket, session, dialler });
        return this.#peer(session.peer).serve(link, reader);
      }),
      Effect.ensuring(Effect.sync(() => socket.destroy())),
      Effect.ignore,
    );
  }

  /**
   * Sends heartbeats and closes silent and idle links of all peers, in one
   * task.
   */
  #sweep(): Effect.Effect<never> {
    const { clock, settings } = this.#options;
    const intervalMs = settings.heartbeatMs / 2;
    let lastSweepAt = clock.monotonic();
    const sweepOnce = Effect.sync(() => {
      const now = clock.monotonic();
      // After a pause of this process every link looks silent, although the
      // messages that peers sent meanwhile are unread in the sockets.
      const paused = now - lastSweepAt > settings.silentMs / 2;
      lastSweepAt = now;
      for (const [name, peer] of this.#peers) {
        if (paused) peer.resetSilenceTimers();
        peer.tick();
        if (peer.isDisposable) this.#peers.delete(name);
      }
    });
    return Effect.sleep(intervalMs).pipe(
      Effect.andThen(sweepOnce),
      Effect.forever,
    );
  }

  #stop(): void {
    for (const peer of this.#peers.values()) peer.stop();
  }
}
