/**
 * Sends arrivals on their own clock, whether or not earlier ones have been
 * answered, and records what the callers see.
 *
 * @module
 */
import http from "node:http";
import type { Arrival } from "./arrivals.ts";
import { EventReader, readWhole, type WholeAnswer } from "./load_answer.ts";
import type { CallerEnd, CallerRecord } from "./load_record.ts";
import { bodyOf } from "./load_request.ts";

/** Where requests go. */
export interface Destination {
  /** Base addresses of daemons, used in turn. */
  readonly urls: readonly string[];
  /** Keys by workspace; without one a request has no authorization. */
  readonly keys: Readonly<Record<string, string>>;
  /** Path of a plain service's call. */
  readonly plainPath: string;
}

/** How requests are sent. */
export interface Sending {
  /** Milliseconds after which a caller gives up. */
  readonly patienceMs: number;
  /** Sends an idempotency key with what is not repeatable. */
  readonly idempotencyKeys: boolean;
  /** Makes the ids of one run differ from those of another. */
  readonly runName: string;
}

/** Arrivals due sooner than this are sent at once. */
const TIMER_STEP_MS = 1;
const LOWEST_ERROR_STATUS = 400;
const REQUEST_ID = "umbermast-request-id";
const OUTCOME = "umbermast-outcome";

/** Milliseconds since the epoch that do not go back during a run. */
function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

function textHeader(
  headers: http.IncomingHttpHeaders | undefined,
  name: string,
): string | undefined {
  const value = headers?.[name];
  return typeof value === "string" ? value : undefined;
}

function codeIn(body: string): string | undefined {
  try {
    const parsed = JSON.parse(body) as { error?: { code?: unknown } };
    const code = parsed.error?.code;
    return typeof code === "string" ? code : undefined;
  } catch {
    return undefined;
  }
}

/** One request under way, from the send to its record. */
class Exchange {
  readonly #arrival: Arrival;
  readonly #daemon: string;
  readonly #dueAt: number;
  readonly #key: string | undefined;
  readonly #sentAt = nowMs();
  #events: EventReader | undefined;
  #head: http.IncomingMessage | undefined;
  #headAt: number | undefined;
  #body = "";
  #gaveUp = false;

  constructor(
    arrival: Arrival,
    options: {
      readonly daemon: string;
      readonly dueAt: number;
      readonly key: string | undefined;
    },
  ) {
    this.#arrival = arrival;
    this.#daemon = options.daemon;
    this.#dueAt = options.dueAt;
    this.#key = options.key;
  }

  begin(head: http.IncomingMessage): void {
    this.#head = head;
    this.#headAt = nowMs();
    head.setEncoding("utf8");
    const type = head.headers["content-type"] ?? "";
    if (!type.startsWith("text/event-stream")) return;
    this.#events = new EventReader(this.#requestId ?? "");
  }

  take(piece: string): void {
    if (this.#events === undefined) this.#body += piece;
    else this.#events.push(piece, nowMs());
  }

  giveUp(): void {
    this.#gaveUp = true;
  }

  get #requestId(): string | undefined {
    return textHeader(this.#head?.headers, REQUEST_ID);
  }

  #isRefused(): boolean {
    return (this.#head?.statusCode ?? 0) >= LOWEST_ERROR_STATUS;
  }

  #end(answer: WholeAnswer, cleanly: boolean): CallerEnd {
    if (this.#gaveUp) return "gave-up";
    if (this.#head === undefined) return "lost";
    if (this.#isRefused()) return "refused";
    if (this.#events?.failed === true) return "broken";
    if (!cleanly) return "lost";
    return answer.whole ? "complete" : "truncated";
  }

  #read(): WholeAnswer {
    if (this.#events !== undefined) return this.#events;
    return readWhole(this.#body, this.#requestId ?? "");
  }

  /** The record, once the exchange is over; `cleanly` if HTTP says it is whole. */
  record(cleanly: boolean): CallerRecord {
    const answer = this.#read();
    const gaps = this.#events?.gaps;
    return {
      index: this.#arrival.index,
      requestId: this.#requestId,
      daemon: this.#daemon,
      phase: this.#arrival.phase,
      class: this.#arrival.class,
      workspace: this.#arrival.workspace,
      repeatable: this.#arrival.repeatable,
      idempotencyKey: this.#key,
      dueAt: this.#dueAt,
      sentAt: this.#sentAt,
      headAt: this.#headAt,
      firstTokenAt: this.#events?.firstAt,
      endedAt: nowMs(),
      tokens: answer.tokens,
      longestGapMs: gaps?.longestMs,
      meanGapMs: gaps?.meanMs,
      status: this.#head?.statusCode,
      end: this.#end(answer, cleanly),
      outcome: textHeader(this.#head?.headers, OUTCOME),
      code: this.#isRefused() ? codeIn(this.#body) : undefined,
      foreign: cleanly && !this.#isRefused() && answer.foreign,
    };
  }
}

/** Sends arrivals over as many kept-alive connections as are needed. */
class Sender {
  readonly #destination: Destination;
  readonly #sending: Sending;
  readonly #agent = new http.Agent({
    keepAlive: true,
    maxSockets: Infinity,
    maxFreeSockets: Infinity,
  });

  constructor(destination: Destination, sending: Sending) {
    this.#destination = destination;
    this.#sending = sending;
  }

  #urlOf(arrival: Arrival): string {
    const { urls, plainPath } = this.#destination;
    const base = urls[arrival.index % urls.length];
    if (arrival.model !== undefined) return `${base}/v1/chat/completions`;
    return `${base}/services/${arrival.service}${plainPath}`;
  }

  #keyOf(arrival: Arrival): string | undefined {
    if (arrival.repeatable || !this.#sending.idempotencyKeys) return undefined;
    return `${this.#sending.runName}-${arrival.index}`;
  }

  #headersOf(arrival: Arrival, body: string): http.OutgoingHttpHeaders {
    const secret = this.#destination.keys[arrival.workspace];
    const key = this.#keyOf(arrival);
    return {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      "umbermast-class": arrival.class,
      ...(secret === undefined ? {} : { authorization: `Bearer ${secret}` }),
      ...(arrival.repeatable ? {} : { "umbermast-repeatable": "false" }),
      ...(key === undefined ? {} : { "idempotency-key": key }),
    };
  }

  /** Sends one request and waits for its end, however it ends. */
  send(arrival: Arrival, dueAt: number): Promise<CallerRecord> {
    const url = this.#urlOf(arrival);
    const body = bodyOf(arrival);
    const exchange = new Exchange(arrival, {
      daemon: new URL(url).host,
      dueAt,
      key: this.#keyOf(arrival),
    });
    return new Promise((resolve) => {
      const request = http.request(url, {
        method: "POST",
        agent: this.#agent,
        headers: this.#headersOf(arrival, body),
      });
      const patience = setTimeout(() => {
        exchange.giveUp();
        request.destroy();
      }, this.#sending.patienceMs);
      const finish = (cleanly: boolean) => {
        clearTimeout(patience);
        resolve(exchange.record(cleanly));
      };
      request.on("error", () => finish(false));
      request.on("response", (head) => {
        exchange.begin(head);
        head.on("data", (piece: string) => exchange.take(piece));
        head.on("error", () => finish(false));
        head.on("end", () => finish(head.complete));
      });
      request.end(body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Sends every arrival when it is due and resolves with their records, in the
 * order of arrivals, once all have ended.
 *
 * @example
 * ```ts
 * const records = await sendAll(
 *   arrivals(COOPERATIVE, { seed: 1, phases }),
 *   { urls, keys, plainPath: "/cards" },
 *   { patienceMs: 30_000, idempotencyKeys: true, runName: "run-1" },
 * );
 * ```
 */
export async function sendAll(
  sent: readonly Arrival[],
  destination: Destination,
  sending: Sending,
): Promise<readonly CallerRecord[]> {
  const sender = new Sender(destination, sending);
  const startedAt = nowMs();
  const pending: Promise<CallerRecord>[] = [];
  for (const arrival of sent) {
    const dueAt = startedAt + arrival.atMs;
    const earlyMs = dueAt - nowMs();
    if (earlyMs > TIMER_STEP_MS) await pause(earlyMs);
    pending.push(sender.send(arrival, dueAt));
  }
  const records = await Promise.all(pending);
  sender.close();
  return records;
}
