/**
 * Reads an answer as it comes, and tells whether it is whole and the right one.
 *
 * The stand-in engine's token `k` of request `R` reads `R:k `, and the stand-in
 * service echoes the request id, so each answer shows whose it is.
 *
 * @module
 */

const EVENT_END = "\n\n";
const DATA = "data: ";
const DONE = "[DONE]";

/** A completion, or a piece of one, as far as the bench looks into it. */
interface Completion {
  readonly error?: unknown;
  readonly requestId?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: { readonly completion_tokens?: number } | null;
}

/** Gaps between token events, in milliseconds. */
export interface Gaps {
  readonly longestMs: number;
  readonly meanMs: number;
}

/** What a whole body holds. */
export interface WholeAnswer {
  readonly tokens: number;
  /** As many tokens as announced, in order. */
  readonly whole: boolean;
  /** It answers another request. */
  readonly foreign: boolean;
}

/** Takes the bytes of a stream of server-sent events in pieces of any size. */
export class EventReader {
  readonly #requestId: string;
  #rest = "";
  #tokens = 0;
  #announced: number | undefined;
  #finished = false;
  #done = false;
  #failed = false;
  #foreign = false;
  #inOrder = true;
  #firstAt: number | undefined;
  #lastAt = 0;
  #longestMs = 0;

  /** `requestId` is the one that the answer's head gave. */
  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  /** Takes a piece that came at `at`, in milliseconds. */
  push(piece: string, at: number): void {
    this.#rest += piece;
    let start = 0;
    let end = this.#rest.indexOf(EVENT_END);
    while (end !== -1) {
      this.#take(this.#rest.slice(start, end), at);
      start = end + EVENT_END.length;
      end = this.#rest.indexOf(EVENT_END, start);
    }
    this.#rest = this.#rest.slice(start);
  }

  #take(event: string, at: number): void {
    if (!event.startsWith(DATA)) return;
    const data = event.slice(DATA.length);
    if (data === DONE) {
      this.#done = true;
      return;
    }
    const parsed = JSON.parse(data) as Completion;
    if (parsed.error !== undefined) {
      this.#failed = true;
      return;
    }
    this.#count(parsed, at);
  }

  #count(event: Completion, at: number): void {
    this.#check(event.choices?.[0]?.delta?.content ?? "");
    this.#tokens += 1;
    if (this.#firstAt === undefined) this.#firstAt = at;
    else this.#longestMs = Math.max(this.#longestMs, at - this.#lastAt);
    this.#lastAt = at;
    const reason = event.choices?.[0]?.finish_reason;
    if (typeof reason === "string") this.#finished = true;
    this.#announced = event.usage?.completion_tokens ?? this.#announced;
  }

  #check(content: string): void {
    const cut = content.lastIndexOf(":");
    if (content.slice(0, cut) !== this.#requestId) this.#foreign = true;
    if (content.slice(cut + 1) !== `${this.#tokens} `) this.#inOrder = false;
  }

  /** Token events so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** When the first token event came. */
  get firstAt(): number | undefined {
    return this.#firstAt;
  }

  /** An explicit error event came. */
  get failed(): boolean {
    return this.#failed;
  }

  /** A token of another request came. */
  get foreign(): boolean {
    return this.#foreign;
  }

  /** The end came, after a finish reason, with each announced token in order. */
  get whole(): boolean {
    if (!this.#done || !this.#finished || this.#failed) return false;
    if (!this.#inOrder) return false;
    return this.#announced === undefined || this.#announced === this.#tokens;
  }

  /** Gaps between token events; `undefined` with fewer than two. */
  get gaps(): Gaps | undefined {
    if (this.#firstAt === undefined || this.#tokens < 2) return undefined;
    const meanMs = (this.#lastAt - this.#firstAt) / (this.#tokens - 1);
    return { longestMs: this.#longestMs, meanMs };
  }
}

/** Reads the JSON body of a whole answer to `requestId`. */
export function readWhole(body: string, requestId: string): WholeAnswer {
  let parsed: Completion;
  try {
    parsed = JSON.parse(body) as Completion;
  } catch {
    return { tokens: 0, whole: false, foreign: false };
  }
  const content = parsed.choices?.[0]?.message?.content;
  if (content === undefined) {
    const foreign = parsed.requestId !== requestId;
    return { tokens: 0, whole: true, foreign };
  }
  const tokens = content.trimEnd().split(" ");
  const announced = parsed.usage?.completion_tokens ?? tokens.length;
  return {
    tokens: tokens.length,
    whole: announced === tokens.length &&
      tokens.every((token, k) => token.endsWith(`:${k}`)),
    foreign: tokens.some((token) => !token.startsWith(`${requestId}:`)),
  };
}
