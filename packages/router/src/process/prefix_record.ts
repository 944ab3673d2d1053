/**
 * Which parts of prompts each runner has read lately.
 *
 * @module
 */
/** One part of a prompt; a prompt is a list of them. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Milliseconds after which a part is taken to have yielded its place. */
const PART_LIFE_MS = 30_000;
/** Parts recorded for one runner: at 25 bytes each, some 100 KB for 98 runners. */
const MAX_PARTS = 1_000;

/** The parts that this daemon knows to be in the memory of runners. */
export class PrefixRecord {
  readonly #parts = new Map<string, Map<string, number>>();
  #news = new Map<string, Set<string>>();

  /** Notes that a runner reads the parts of a request's prompt. */
  read(runner: string, prompt: readonly PromptPart[], now: number): void {
    const ids = prompt.map(({ id }) => id);
    this.readParts(runner, ids, now);
    // The last part is the request's own; nobody else can use it.
    const shared = ids.length > 1 ? ids.slice(0, -1) : ids;
    const news = this.#news.get(runner) ?? new Set<string>();
    this.#news.set(runner, news);
    for (const id of shared) news.add(id);
  }

  /** Shared parts that were noted since the last call, by runner. */
  takeNews(): readonly {
    readonly runner: string;
    readonly parts: readonly string[];
  }[] {
    const news = [...this.#news].map(([runner, parts]) => ({
      runner,
      parts: [...parts],
    }));
    this.#news = new Map();
    return news;
  }

  /** Notes parts that a runner reads for another daemon. */
  readParts(runner: string, ids: readonly string[], now: number): void {
    const parts = this.#parts.get(runner) ?? new Map<string, number>();
    this.#parts.set(runner, parts);
    for (const id of ids) {
      parts.delete(id);
      parts.set(id, now);
    }
    for (const id of parts.keys()) {
      if (parts.size <= MAX_PARTS) break;
      parts.delete(id);
    }
  }

  /** Tokens of a prompt that a runner need not read again. */
  cachedTokens(
    runner: string,
    prompt: readonly PromptPart[],
    now: number,
  ): number {
    const parts = this.#parts.get(runner);
    if (parts === undefined) return 0;
    let tokens = 0;
    for (const part of prompt) {
      const at = parts.get(part.id);
      if (at === undefined || now - at > PART_LIFE_MS) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#parts.keys()) {
      if (!ids.has(id)) this.#parts.delete(id);
    }
  }
}
