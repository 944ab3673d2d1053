/**
 * Which parts of prompts each runner holds, as far as requests tell.
 *
 * @module
 */

/** One part of a prompt; a prompt is a list of them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts that a runner is about to read, or has read. */
export interface PrefixUpdate {
  readonly runner: string;
  readonly parts: readonly PromptPart[];
  /** Whether they have been read; before that no other runner can fetch them. */
  readonly read: boolean;
}

interface Held {
  readonly tokens: number;
  readonly at: number;
  readonly read: boolean;
  /** When it was last told, here or by another daemon, as read or not. */
  readonly toldAt: number;
  readonly toldRead: boolean;
}

/** Milliseconds after which a part is taken to have yielded its place. */
const PART_LIFE_MS = 30_000;
/**
 * Milliseconds in which a part that was sent is either read or will not be:
 * the request failed, or the runner is far behind.
 */
const SENT_LIFE_MS = 5_000;
/**
 * Milliseconds after which a part that is used again is told again. What all know
 * is no news: of each request only what its runner did not hold is told, and what
 * is in use stays known for well within its life.
 */
const TELL_AGAIN_MS = PART_LIFE_MS / 3;
/** Parts recorded for one runner: at 100 bytes each, some 10 MB for 98 runners. */
const MAX_PARTS = 1_000;

/** The parts that this daemon believes to be in the memory of runners. */
export class PrefixIndex {
  readonly #parts = new Map<string, Map<string, Held>>();
  readonly #listeners: (() => void)[] = [];
  #news: PrefixUpdate[] = [];

  /** Calls `listener` whenever something is noted here that others lack. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Notes that a request was sent to a runner, which will read its prompt. */
  recordSent(runner: string, prompt: readonly PromptPart[], now: number): void {
    this.#tell({ runner, parts: shared(prompt), read: false }, now);
  }

  /** Notes that a runner has read a request's prompt. */
  recordRead(runner: string, prompt: readonly PromptPart[], now: number): void {
    this.#tell({ runner, parts: shared(prompt), read: true }, now);
  }

  /** Notes what a runner said that it holds. */
  recordHeld(runner: string, parts: readonly PromptPart[], now: number): void {
    this.#tell({ runner, parts, read: true }, now);
  }

  /** All that runners have read, for a daemon that knows nothing. */
  snapshot(): readonly PrefixUpdate[] {
    return [...this.#parts].map(([runner, held]) => ({
      runner,
      parts: [...held]
        .filter(([, { read }]) => read)
        .map(([id, { tokens }]) => ({ id, tokens })),
      read: true,
    }));
  }

  /** Takes what another daemon has noted. */
  applyUpdate(news: PrefixUpdate, now: number): void {
    this.#note(news, now, () => true);
  }

  /** What was noted here since the last call. */
  takeUpdates(): readonly PrefixUpdate[] {
    const news = this.#news;
    this.#news = [];
    return news;
  }

  /** Tokens of a prompt that a runner need not read again. */
  cachedTokens(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): number {
    return this.#tokens(
      runner,
      prompt,
      (held) => now - held.at < (held.read ? PART_LIFE_MS : SENT_LIFE_MS),
    );
  }

  /** Tokens of a prompt that can be fetched from a runner. */
  fetchableTokens(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): number {
    return this.#tokens(
      runner,
      prompt,
      (held) => held.read && now - held.at < PART_LIFE_MS,
    );
  }

  /** Forgets runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#parts.keys()) {
      if (!ids.has(id)) this.#parts.delete(id);
    }
  }

  #tell(news: PrefixUpdate, now: number): void {
    const held = this.#parts.get(news.runner);
    const parts = news.parts.filter(({ id }) =>
      isNews(held?.get(id), news.read, now)
    );
    const told = new Set(parts.map(({ id }) => id));
    this.#note(news, now, (id) => told.has(id));
    if (parts.length === 0) return;
    this.#news.push({ ...news, parts });
    for (const listener of this.#listeners) listener();
  }

  /** @param tells whether a part is known to others from now on. */
  #note(
    news: PrefixUpdate,
    now: number,
    tells: (id: string) => boolean,
  ): void {
    const held = this.#parts.get(news.runner) ?? new Map<string, Held>();
    this.#parts.set(news.runner, held);
    for (const { id, tokens } of news.parts) {
      const before = held.get(id);
      const read = news.read || (before?.read ?? false);
      const told = tells(id) || before === undefined
        ? { toldAt: now, toldRead: read }
        : { toldAt: before.toldAt, toldRead: before.toldRead };
      held.delete(id);
      held.set(id, { tokens, at: now, read, ...told });
    }
    for (const id of held.keys()) {
      if (held.size <= MAX_PARTS) break;
      held.delete(id);
    }
  }

  #tokens(
    runner: string,
    prompt: readonly PromptPart[],
    counts: (held: Held) => boolean,
  ): number {
    const parts = this.#parts.get(runner);
    if (parts === undefined) return 0;
    let tokens = 0;
    for (const part of prompt) {
      const held = parts.get(part.id);
      if (held === undefined || !counts(held)) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}

/** Whether other daemons do not know what is to be noted of a part. */
function isNews(held: Held | undefined, read: boolean, now: number): boolean {
  if (held === undefined || (read && !held.toldRead)) return true;
  const again = held.toldRead ? TELL_AGAIN_MS : SENT_LIFE_MS / 2;
  return now - held.toldAt >= again;
}

/** All parts but the last, which is the request's own and of use to nobody. */
function shared(prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1);
}
