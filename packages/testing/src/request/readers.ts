/**
 * Readers of a caller: one for each form of an answer's body.
 *
 * @module
 */
import {
  type Answer,
  type PlainEcho,
  readError,
  TokenCheck,
} from "./answer.ts";
import { EventStream } from "./event_stream.ts";
import type { Progress } from "./progress.ts";

const OK = 200;
const MS_PER_SECOND = 1000;

/** Reads the body of an answer. */
export interface Reader {
  take(text: string): void;
  /** `whole` tells whether the body's framing ended cleanly. */
  end(whole: boolean): Answer;
}

/** Reads an error. */
export class RefusalBody implements Reader {
  readonly #call: Progress;
  #text = "";

  constructor(call: Progress) {
    this.#call = call;
  }

  take(text: string): void {
    this.#text += text;
  }

  end(): Answer {
    const error = readError(this.#text);
    const given = this.#call.header("umbermast-outcome");
    const outcome = given === "not-run" || given === "failed"
      ? given
      : "unknown";
    const retryAfter = this.#call.header("retry-after");
    return this.#call.answer(outcome, {
      finding: error?.message ?? this.#text,
      ...(error?.code === undefined ? {} : { code: error.code }),
      ...(retryAfter === undefined
        ? {}
        : { retryAfterMs: Number(retryAfter) * MS_PER_SECOND }),
    });
  }
}

/** Reads server-sent events. */
export class StreamedBody implements Reader {
  readonly #call: Progress;
  readonly #onTokens: ((tokens: number) => void) | undefined;
  readonly #check: TokenCheck;
  readonly #events: EventStream;
  #firstTokenMs: number | undefined;
  #latestMs = 0;
  #maxGapMs = 0;

  constructor(
    call: Progress,
    options: {
      readonly onTokens?: (tokens: number) => void;
      readonly fromToken?: number;
    },
  ) {
    this.#call = call;
    this.#onTokens = options.onTokens;
    this.#check = new TokenCheck(call.requestId, options.fromToken);
    this.#events = new EventStream(this.#check);
  }

  take(text: string): void {
    const before = this.#check.tokens;
    this.#events.take(text);
    if (this.#check.tokens === before) return;
    const now = this.#call.elapsedMs;
    if (this.#firstTokenMs === undefined) this.#firstTokenMs = now;
    else this.#maxGapMs = Math.max(this.#maxGapMs, now - this.#latestMs);
    this.#latestMs = now;
    this.#onTokens?.(this.#check.tokens);
  }

  end(whole: boolean): Answer {
    const { done, error, expectedTokens } = this.#events;
    const times = {
      tokens: this.#check.tokens,
      maxGapMs: this.#maxGapMs,
      ...(this.#firstTokenMs === undefined
        ? {}
        : { firstTokenMs: this.#firstTokenMs }),
    };
    if (this.#check.finding !== undefined) {
      const { finding } = this.#check;
      return this.#call.answer("corrupt", { ...times, finding });
    }
    if (error !== undefined) {
      const { code = "", message = "" } = error;
      return this.#call.answer("truncated", {
        ...times,
        code,
        finding: message,
      });
    }
    if (!whole || !done) return this.#call.answer("truncated", times);
    this.#check.total(expectedTokens);
    const { finding } = this.#check;
    if (finding === undefined) return this.#call.answer("complete", times);
    return this.#call.answer("corrupt", { ...times, finding });
  }
}

interface ChatBody {
  readonly choices?: readonly {
    readonly message?: { readonly content?: string };
  }[];
  readonly usage?: { readonly completion_tokens?: number };
}

/** Reads a whole chat answer. */
export class WholeBody implements Reader {
  readonly #call: Progress;
  #text = "";

  constructor(call: Progress) {
    this.#call = call;
  }

  take(text: string): void {
    this.#text += text;
  }

  end(whole: boolean): Answer {
    if (!whole) return this.#call.answer("truncated");
    const body = parse<ChatBody>(this.#text);
    const check = new TokenCheck(this.#call.requestId);
    check.take(body?.choices?.[0]?.message?.content ?? "");
    check.total(body?.usage?.completion_tokens);
    const { tokens, finding } = check;
    if (finding === undefined) return this.#call.answer("complete", { tokens });
    return this.#call.answer("corrupt", { tokens, finding });
  }
}

/** Reads the echo of the plain stand-in. */
export class PlainBody implements Reader {
  readonly #call: Progress;
  readonly #sent: string;
  #text = "";

  constructor(call: Progress, sent: string) {
    this.#call = call;
    this.#sent = sent;
  }

  take(text: string): void {
    this.#text += text;
  }

  end(whole: boolean): Answer {
    if (!whole || this.#call.status !== OK) {
      return this.#call.answer("truncated");
    }
    const body = parse<PlainEcho>(this.#text);
    const { requestId } = this.#call;
    if (body === undefined) {
      return this.#call.answer("corrupt", { finding: "body is not JSON" });
    }
    if (body.requestId !== requestId || body.body !== this.#sent) {
      const finding = `answer to "${body.requestId}", asked "${requestId}"`;
      return this.#call.answer("corrupt", { finding, body });
    }
    return this.#call.answer("complete", { body });
  }
}

function parse<T>(text: string): T | undefined {
  try {
    return JSON.parse(text) as T;
  } catch {
    return undefined;
  }
}
