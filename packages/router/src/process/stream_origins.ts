/**
 * Origins of streams by the keys under which callers resume them, at any daemon: the
 * attempt that brought the first event, and the content of the request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { StreamOrigin } from "./stream_origin.ts";

/** Time in ms after the end of a response in which its stream may be resumed. */
export const RETENTION_MS = 60_000;
/** Interval in ms at which the origin of a long stream is sent to peers again. */
const REFRESH_MS = 30_000;
/** Interval in ms at which expired origins are deleted. */
const SWEEP_MS = 1_000;
/** Maximum number of known origins, about 4 MB. */
const MAX_ORIGINS = 20_000;
/**
 * Interval in ms at which a question is asked again: when a daemon is lost, links
 * and relays change, and what is sent meanwhile may reach nobody.
 */
const ASK_AGAIN_MS = 200;
/** Interval in ms in which a question is forwarded once. */
const FORWARD_INTERVAL_MS = 150;
/** Length of a stream's key in bytes. */
const KEY_BYTES = 9;
/** Maximum length of a key, a service or a version in a message. */
const MAX_TEXT_LENGTH = 200;

/** The origin of one stream. */
export interface OriginRecord extends StreamOrigin {
  /** Key of the stream; see {@linkcode streamKey}. */
  readonly stream: string;
  readonly software: string;
}

/** A known origin, and where it was learnt. */
export interface KnownOrigin extends StreamOrigin {
  /** Name of the peer that sent it; undefined if the stream began here. */
  readonly peer: string | undefined;
  /** When it was learnt, in monotonic ms. */
  readonly knownAt: number;
}

/** What daemons tell and ask each other. */
export interface OriginUpdates {
  readonly origins: readonly OriginRecord[];
  /** Keys of the streams whose origins a daemon asks for. */
  readonly wanted: readonly string[];
}

/** An update without changes. */
export const NO_ORIGINS: OriginUpdates = { origins: [], wanted: [] };

interface Entry {
  record: OriginRecord;
  readonly peer: string | undefined;
  readonly knownAt: number;
  /** Number of responses of this daemon that relay the stream. */
  responses: number;
  expiresAt: number;
  /** When a peer last sent it, in monotonic ms. */
  heardAt: number;
  /** When it was last sent to peers, in monotonic ms. */
  sentAt: number;
}

/**
 * The software version of a key to which several origins belong: two callers sent
 * the same request. Where their streams continue cannot be told apart.
 */
const SEVERAL = "";

/** Options of {@linkcode StreamOrigins}. */
export interface StreamOriginsOptions {
  /**
   * Whether peers are told of a service's streams before they ask: a daemon that
   * is killed no longer answers.
   */
  readonly isPublished: (service: string) => boolean;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Returns the key of a stream. It includes the workspace, so that the id of another
 * workspace's attempt matches nothing.
 *
 * @example
 * ```ts
 * streamKey("front-office", "9c41d07be2a35f68"); // "q2wQJ6dZ1vXh"
 * ```
 */
export function streamKey(
  workspace: string | undefined,
  attemptId: string,
): string {
  return createHash("sha256")
    .update(JSON.stringify([workspace ?? null, attemptId])).digest()
    .subarray(0, KEY_BYTES).toString("base64url");
}

/**
 * Remembers the origins of streams. A daemon sends those of its own streams to its
 * peers where they are published; any other one is asked for when its caller
 * resumes it.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  /** All entries, the oldest first. */
  readonly #entries = new Map<string, Entry>();
  readonly #listeners: (() => void)[] = [];
  readonly #waiting = new Map<string, Set<() => void>>();
  /** When questions were last forwarded, by key. */
  readonly #forwardedAt = new Map<string, number>();
  /** Streams of this daemon that no peer has been told of. */
  readonly #unpublished = new Set<string>();
  readonly #outgoing = new Map<string, OriginRecord>();
  readonly #wanted = new Set<string>();
  #sweptAt = -Infinity;

  constructor(options: StreamOriginsOptions) {
    this.#options = options;
  }

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Records that a response of this daemon relays a stream.
   *
   * @param streams all keys by which its caller may resume it.
   * @returns a function to be called when the response has ended.
   */
  begin(streams: readonly string[], origin: StreamOrigin): () => void {
    const { software } = origin;
    if (software === undefined) return () => {};
    const entries = streams.map((stream) =>
      this.#own({ ...origin, stream, software })
    );
    for (const entry of entries) {
      entry.responses += 1;
      if (entry.sentAt === -Infinity) this.#publish(entry);
    }
    return () => {
      const expiresAt = this.#options.now() + RETENTION_MS;
      for (const entry of entries) {
        entry.responses -= 1;
        entry.expiresAt = expiresAt;
      }
    };
  }

  /**
   * Returns the origin of a stream, if it is known here; its version is undefined if
   * the key belongs to streams of different origins.
   */
  find(stream: string): KnownOrigin | undefined {
    this.#sweep();
    const entry = this.#entries.get(stream);
    if (entry === undefined) return undefined;
    const { record: { service, software }, peer, knownAt } = entry;
    const known = software === SEVERAL ? undefined : software;
    return { service, software: known, peer, knownAt };
  }

  /**
   * Asks all peers for the origin of a stream.
   *
   * @returns the origin; undefined if no peer has told it in time.
   */
  async ask(
    stream: string,
    maxMs: number,
  ): Promise<KnownOrigin | undefined> {
    await this.#answered(stream, maxMs);
    return this.find(stream);
  }

  #answered(stream: string, maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(stream) ?? new Set();
      this.#waiting.set(stream, waiting);
      const end = () => {
        clearTimeout(timer);
        clearInterval(again);
        waiting.delete(end);
        if (waiting.size === 0) this.#waiting.delete(stream);
        resolve();
      };
      const timer = setTimeout(end, maxMs);
      const again = setInterval(() => this.#want(stream), ASK_AGAIN_MS);
      waiting.add(end);
      this.#want(stream);
    });
  }

  #want(stream: string): void {
    this.#wanted.add(stream);
    this.#updated();
  }

  /** Sends those origins to peers that are published now and were not before. */
  publish(): void {
    for (const stream of this.#unpublished) {
      this.#publish(this.#entries.get(stream)!);
    }
  }

  /**
   * Applies what a peer tells and asks.
   *
   * @returns what was new to this daemon, to be forwarded.
   */
  applyUpdates(
    peer: string,
    { origins, wanted }: OriginUpdates,
  ): OriginUpdates {
    if (origins.length + wanted.length === 0) return NO_ORIGINS;
    this.#sweep();
    return {
      origins: origins.filter((origin) =>
        isValid(origin) && this.#learn(peer, origin)
      ),
      wanted: wanted.filter((stream) =>
        isText(stream) && !this.#answer(stream) && this.#mayForward(stream)
      ),
    };
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): OriginUpdates {
    this.#sweep();
    if (this.#outgoing.size + this.#wanted.size === 0) return NO_ORIGINS;
    const origins = [...this.#outgoing.values()];
    const wanted = [...this.#wanted];
    this.#outgoing.clear();
    this.#wanted.clear();
    return { origins, wanted };
  }

  #own(origin: OriginRecord): Entry {
    const { stream } = origin;
    const entry = this.#entries.get(stream);
    if (entry !== undefined && !this.#merge(entry, origin)) return entry;
    this.#unpublished.add(stream);
    if (entry === undefined) return this.#add(origin, undefined);
    entry.sentAt = -Infinity;
    return entry;
  }

  #learn(peer: string, origin: OriginRecord): boolean {
    const entry = this.#entries.get(origin.stream);
    if (entry !== undefined) {
      const refreshed = this.#refresh(entry);
      return this.#merge(entry, origin) || refreshed;
    }
    this.#add(origin, peer);
    for (const end of this.#waiting.get(origin.stream) ?? []) end();
    return true;
  }

  /**
   * Keeps an origin for longer, because a peer sent it again.
   *
   * @returns whether other peers are to be sent it again, too.
   */
  #refresh(entry: Entry): boolean {
    const now = this.#options.now();
    if (now - entry.heardAt < REFRESH_MS / 2) return false;
    entry.heardAt = now;
    entry.expiresAt = now + RETENTION_MS;
    return true;
  }

  /**
   * Adds another origin of the same key.
   *
   * @returns whether that changes what is known.
   */
  #merge(entry: Entry, { service, software }: OriginRecord): boolean {
    const { record } = entry;
    const same = record.service === service && record.software === software;
    if (same || record.software === SEVERAL) return false;
    entry.record = { ...record, software: SEVERAL };
    return true;
  }

  #add(
    { stream, service, software }: OriginRecord,
    peer: string | undefined,
  ): Entry {
    const knownAt = this.#options.now();
    const entry = {
      record: { stream, service, software },
      peer,
      knownAt,
      responses: 0,
      expiresAt: knownAt + RETENTION_MS,
      heardAt: knownAt,
      sentAt: -Infinity,
    };
    this.#entries.delete(stream);
    this.#entries.set(stream, entry);
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAX_ORIGINS) this.#delete(oldest!);
    return entry;
  }

  #delete(stream: string): void {
    this.#entries.delete(stream);
    this.#unpublished.delete(stream);
  }

  #publish(entry: Entry): void {
    if (this.#options.isPublished(entry.record.service)) this.#tell(entry);
  }

  #tell(entry: Entry): void {
    entry.sentAt = this.#options.now();
    const { record } = entry;
    this.#unpublished.delete(record.stream);
    this.#outgoing.set(record.stream, record);
    this.#updated();
  }

  /** Answers a question of a peer. */
  #answer(stream: string): boolean {
    const entry = this.#entries.get(stream);
    if (entry !== undefined) this.#tell(entry);
    return entry !== undefined;
  }

  #mayForward(stream: string): boolean {
    const now = this.#options.now();
    const at = this.#forwardedAt.get(stream) ?? -Infinity;
    if (now - at < FORWARD_INTERVAL_MS) return false;
    this.#forwardedAt.set(stream, now);
    return true;
  }

  #sweep(): void {
    const now = this.#options.now();
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    for (const [stream, at] of this.#forwardedAt) {
      if (now - at >= FORWARD_INTERVAL_MS) this.#forwardedAt.delete(stream);
    }
    for (const [stream, entry] of this.#entries) {
      const { responses, expiresAt, sentAt } = entry;
      if (responses === 0 && expiresAt <= now) this.#delete(stream);
      if (responses > 0 && now - sentAt >= REFRESH_MS) this.#publish(entry);
    }
  }

  #updated(): void {
    for (const listener of this.#listeners) listener();
  }
}

function isText(text: string): boolean {
  return typeof text === "string" && text.length <= MAX_TEXT_LENGTH;
}

function isValid({ stream, service, software }: OriginRecord): boolean {
  return isText(stream) && isText(service) && isText(software);
}
