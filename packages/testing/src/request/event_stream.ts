/**
 * Reads the server-sent events of a streamed answer.
 *
 * @module
 */
import type { ErrorBody, TokenCheck } from "./answer.ts";

interface Chunk {
  readonly error?: ErrorBody;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
  readonly usage?: { readonly completion_tokens?: number };
}

const EVENT_END = "\n\n";
const DATA = "data: ";

/** Takes text as it arrives, and checks the tokens in it. */
export class EventStream {
  readonly #check: TokenCheck;
  #rest = "";
  #done = false;
  #error: ErrorBody | undefined;
  #expectedTokens: number | undefined;

  constructor(check: TokenCheck) {
    this.#check = check;
  }

  /** `[DONE]` has arrived. */
  get done(): boolean {
    return this.#done;
  }

  /** The error event that ended the stream, if one did. */
  get error(): ErrorBody | undefined {
    return this.#error;
  }

  /** Tokens of the whole answer, as the engine counts them. */
  get expectedTokens(): number | undefined {
    return this.#expectedTokens;
  }

  take(text: string): void {
    const events = (this.#rest + text).split(EVENT_END);
    this.#rest = events.pop() ?? "";
    for (const event of events) this.#event(event);
  }

  #event(event: string): void {
    // Comments keep a connection open and say nothing.
    const line = event.split("\n").find((line) => line.startsWith(DATA));
    if (line === undefined) return;
    const data = line.slice(DATA.length);
    if (data === "[DONE]") {
      this.#done = true;
      return;
    }
    const chunk = parse(data);
    if (chunk === undefined) {
      this.#check.fail(`event is not JSON: ${data}`);
      return;
    }
    if (chunk.error !== undefined) {
      this.#error = chunk.error;
      return;
    }
    const content = chunk.choices?.[0]?.delta?.content;
    if (content !== undefined) this.#check.take(content);
    if (chunk.usage === undefined) return;
    this.#expectedTokens = chunk.usage.completion_tokens;
  }
}

function parse(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}
