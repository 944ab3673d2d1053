/**
 * What a caller got, checked for wholeness and ownership.
 *
 * @module
 */

/**
 * How a call ended, as its caller sees it:
 *
 * - `complete`: the whole answer to this request, and nothing else;
 * - `not-run`, `failed`, `unknown`: the error's `umbermast-outcome`;
 * - `truncated`: the answer began and broke off, with or without an error event;
 * - `corrupt`: it claims to be whole, but tokens are foreign, missing or doubled;
 * - `cancelled`: the caller left.
 */
export type Outcome =
  | "complete"
  | "not-run"
  | "failed"
  | "unknown"
  | "truncated"
  | "corrupt"
  | "cancelled";

/** A finished call. Times in milliseconds since the send. */
export interface Answer {
  readonly outcome: Outcome;
  /** 0 when no head arrived. */
  readonly status: number;
  /** Code of the error, when there is one. */
  readonly code?: string;
  /** What is wrong, for the reader of a failed test. */
  readonly finding?: string;
  /** Empty when no head arrived. */
  readonly requestId: string;
  /** Tokens delivered to the caller. */
  readonly tokens: number;
  readonly firstTokenMs?: number;
  /** Longest time between two tokens that arrived apart. */
  readonly maxGapMs?: number;
  readonly wholeMs: number;
  /** From the `retry-after` header. */
  readonly retryAfterMs?: number;
  /** Body of a plain service's answer. */
  readonly body?: PlainEcho;
}

/** What the plain stand-in answers. */
export interface PlainEcho {
  readonly callId: string;
  readonly service: string;
  readonly runner: string;
  readonly requestId: string;
  readonly idempotencyKey: string | null;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Checks the tokens of one request as they arrive. */
export class TokenCheck {
  readonly #requestId: string;
  #tokens = 0;
  #finding: string | undefined;

  /** `from` is the number of the first token expected. */
  constructor(requestId: string, from = 0) {
    this.#requestId = requestId;
    this.#tokens = from;
  }

  /** Number of the next token expected: all before it were right. */
  get tokens(): number {
    return this.#tokens;
  }

  /** The first fault, if there is one. */
  get finding(): string | undefined {
    return this.#finding;
  }

  /** Takes text that holds any number of whole tokens. */
  take(text: string): void {
    let rest = text;
    while (rest !== "" && this.#finding === undefined) {
      const expected = `${this.#requestId}:${this.#tokens} `;
      if (!rest.startsWith(expected)) {
        const got = JSON.stringify(rest.slice(0, expected.length));
        this.#finding = `token ${this.#tokens}: expected "${expected}", ` +
          `got ${got}`;
        return;
      }
      this.#tokens += 1;
      rest = rest.slice(expected.length);
    }
  }

  /** Notes a fault; the first one counts. */
  fail(finding: string): void {
    this.#finding ??= finding;
  }

  /** Checks the count that the engine gives for the whole answer. */
  total(expected: unknown): void {
    if (expected === this.#tokens) return;
    this.fail(`expected ${expected} tokens, got ${this.#tokens}`);
  }
}

/** Error of an answer, as far as the caller looks at it. */
export interface ErrorBody {
  readonly code?: string;
  readonly message?: string;
  readonly outcome?: string;
}

/** The error in a JSON body; `undefined` when there is none. */
export function readError(text: string): ErrorBody | undefined {
  try {
    const { error } = JSON.parse(text) as { error?: unknown };
    if (typeof error === "string") return { message: error };
    return error as ErrorBody | undefined;
  } catch {
    return undefined;
  }
}
