/**
 * Index of the prompt parts that each runner has cached, inferred from
 * requests.
 *
 * @module
 */

/** One part of a prompt; a prompt is a list of parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts that a runner is about to prefill, or has prefilled. */
export interface PrefixUpdate {
  readonly runner: string;
  readonly parts: readonly PromptPart[];
  /** Whether they are prefilled; only then can other runners fetch them. */
  readonly read: boolean;
}

interface CachedPart {
  readonly tokens: number;
  readonly at: number;
  readonly read: boolean;
  /** When it was last published, by any daemon, and whether as prefilled. */
  readonly publishedAt: number;
  readonly publishedRead: boolean;
}

/** Milliseconds after which a part is assumed to be evicted. */
const PART_TTL_MS = 30_000;
/**
 * Milliseconds after which a part that was sent, but not prefilled, expires:
 * the request has failed, or the runner is far behind.
 */
const SENT_TTL_MS = 5_000;
/**
 * Milliseconds after which a part in use is published again. Parts that all
 * daemons know are not sent: each request publishes only what its runner did
 * not have cached, and parts in use are renewed well within their lifetime.
 */
const REPUBLISH_MS = PART_TTL_MS / 3;
/** Maximum number of parts per runner: at 100 bytes each, about 10 MB for 98 runners. */
const MAX_PARTS = 1_000;
/** Maximum number of parts of all runners together, about 10 MB. */
const MAX_ALL_PARTS = 100_000;
/** Maximum number of characters of a part's id; a longer one is not kept. */
const MAX_ID_LENGTH = 200;

/**
 * Tracks the parts that this daemon believes to be in the caches of runners.
 */
export class PrefixIndex {
  /** The parts of each runner; the runner that was updated last comes last. */
  readonly #parts = new Map<string, Map<string, CachedPart>>();
  /** Number of parts of all runners. */
  #count = 0;
  readonly #listeners: (() => void)[] = [];
  #pending: PrefixUpdate[] = [];

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Records that a request was sent to a runner, which will prefill its prompt.
   */
  recordSent(runner: string, prompt: readonly PromptPart[], now: number): void {
    this.#publish({ runner, parts: sharedParts(prompt), read: false }, now);
  }

  /** Records that a runner has prefilled a request's prompt. */
  recordPrefill(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): void {
    this.#publish({ runner, parts: sharedParts(prompt), read: true }, now);
  }

  /** Records the parts that a runner reports as cached. */
  recordCached(
    runner: string,
    parts: readonly PromptPart[],
    now: number,
  ): void {
    this.#publish({ runner, parts, read: true }, now);
  }

  /** Returns all prefilled parts, for a daemon that has just started. */
  snapshot(): readonly PrefixUpdate[] {
    return [...this.#parts].map(([runner, cached]) => ({
      runner,
      parts: [...cached]
        .filter(([, { read }]) => read)
        .map(([id, { tokens }]) => ({ id, tokens })),
      read: true,
    }));
  }

  /** Applies an update from another daemon. */
  applyUpdate(update: PrefixUpdate, now: number): void {
    this.#record(update, now, () => true);
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): readonly PrefixUpdate[] {
    const updates = this.#pending;
    this.#pending = [];
    return updates;
  }

  /** Leading tokens of a prompt that a runner need not prefill again. */
  cachedTokens(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): number {
    return this.#leadingTokens(
      runner,
      prompt,
      (cached) => now - cached.at < (cached.read ? PART_TTL_MS : SENT_TTL_MS),
    );
  }

  /** Leading tokens of a prompt that can be fetched from a runner. */
  fetchableTokens(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): number {
    return this.#leadingTokens(
      runner,
      prompt,
      (cached) => cached.read && now - cached.at < PART_TTL_MS,
    );
  }

  /** Deletes runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, { size }] of this.#parts) {
      if (ids.has(id)) continue;
      this.#parts.delete(id);
      this.#count -= size;
    }
  }

  #publish(update: PrefixUpdate, now: number): void {
    const cached = this.#parts.get(update.runner);
    const parts = update.parts.filter(({ id }) =>
      needsPublishing(cached?.get(id), update.read, now)
    );
    const toPublish = new Set(parts.map(({ id }) => id));
    this.#record(update, now, (id) => toPublish.has(id));
    if (parts.length === 0) return;
    this.#pending.push({ ...update, parts });
    for (const listener of this.#listeners) listener();
  }

  /**
   * @param isPublished whether a part is known to other daemons from now on.
   */
  #record(
    update: PrefixUpdate,
    now: number,
    isPublished: (id: string) => boolean,
  ): void {
    const cached = this.#parts.get(update.runner) ??
      new Map<string, CachedPart>();
    const sizeBefore = cached.size;
    this.#parts.delete(update.runner);
    this.#parts.set(update.runner, cached);
    for (const { id, tokens } of update.parts) {
      if (id.length > MAX_ID_LENGTH) continue;
      const before = cached.get(id);
      const read = update.read || (before?.read ?? false);
      const publication = isPublished(id) || before === undefined
        ? { publishedAt: now, publishedRead: read }
        : {
          publishedAt: before.publishedAt,
          publishedRead: before.publishedRead,
        };
      cached.delete(id);
      cached.set(id, { tokens, at: now, read, ...publication });
    }
    dropOldest(cached, cached.size - MAX_PARTS);
    this.#count += cached.size - sizeBefore;
    this.#boundAll();
  }

  /** Drops the oldest parts of the runners that were not updated for longest. */
  #boundAll(): void {
    for (const cached of this.#parts.values()) {
      const excess = this.#count - MAX_ALL_PARTS;
      if (excess <= 0) return;
      const sizeBefore = cached.size;
      dropOldest(cached, excess);
      this.#count -= sizeBefore - cached.size;
    }
  }

  #leadingTokens(
    runner: string,
    prompt: readonly PromptPart[],
    counts: (cached: CachedPart) => boolean,
  ): number {
    const parts = this.#parts.get(runner);
    if (parts === undefined) return 0;
    let tokens = 0;
    for (const part of prompt) {
      const cached = parts.get(part.id);
      if (cached === undefined || !counts(cached)) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}

function dropOldest(cached: Map<string, CachedPart>, count: number): void {
  let left = count;
  for (const id of cached.keys()) {
    if (left <= 0) return;
    cached.delete(id);
    left -= 1;
  }
}

/** Whether a part, or its prefill, has to be published to other daemons. */
function needsPublishing(
  cached: CachedPart | undefined,
  read: boolean,
  now: number,
): boolean {
  if (cached === undefined || (read && !cached.publishedRead)) return true;
  const republishMs = cached.publishedRead ? REPUBLISH_MS : SENT_TTL_MS / 2;
  return now - cached.publishedAt >= republishMs;
}

/** All parts but the last, which is unique to the request and never reused. */
function sharedParts(prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1);
}
