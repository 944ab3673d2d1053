/**
 * Sends arrivals on their own clock, whether or not earlier ones have been
 * answered, and records what the callers see.
 *
 * @module
 */
import { ClientAgent } from "@umbermast/coordination/client_socket";
import { setTimeout as pause } from "node:timers/promises";
import { Caller, type CallOptions } from "@umbermast/testing";
import type { Arrival } from "./arrivals.ts";
import type { CallerRecord } from "./load_record.ts";

/** Where requests go. */
export interface Destination {
  /** Base addresses of daemons, used in turn. */
  readonly urls: readonly string[];
  /** Keys by workspace; without one a request has no authorization. */
  readonly keys: Readonly<Record<string, string>>;
  /** Path of a plain service's call, after the service's name. */
  readonly plainPath: string;
}

/** How requests are sent. */
export interface Sending {
  /** Milliseconds after which a caller gives up. */
  readonly patienceMs: number;
  /** Sends an idempotency key with what is not repeatable. */
  readonly idempotencyKeys: boolean;
  /** Makes the keys of one run differ from those of another. */
  readonly runName: string;
  /** Ends the sending early; what was sent is awaited. */
  readonly signal?: AbortSignal;
}

/** Arrivals due sooner than this are sent at once. */
const TIMER_STEP_MS = 1;
const CHARACTERS_PER_TOKEN = 4;
/** Share of a prompt that it has in common with others of its prefix. */
const PREFIX_SHARE = 0.6;

/** Milliseconds since the epoch that do not go back during a run. */
function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

function words(start: string, tokens: number): string {
  const length = Math.max(1, tokens * CHARACTERS_PER_TOKEN);
  return `${start} `.padEnd(length, "word ").slice(0, length);
}

/** A prompt of the right length, its beginning shared by all of the same prefix. */
function promptOf(arrival: Arrival) {
  const shared = Math.floor(arrival.promptTokens * PREFIX_SHARE);
  const own = `${arrival.workspace} ${arrival.index}`;
  return {
    system: words(`${arrival.class} ${arrival.prefix}`, shared),
    prompt: words(own, arrival.promptTokens - shared),
  };
}

/** Sends over as many kept-alive connections as are needed. */
class Sender {
  readonly #destination: Destination;
  readonly #sending: Sending;
  readonly #agent = new ClientAgent({
    keepAlive: true,
    maxSockets: Infinity,
    maxFreeSockets: Infinity,
  });

  constructor(destination: Destination, sending: Sending) {
    this.#destination = destination;
    this.#sending = sending;
  }

  /** Sends one request and waits for its end, however it ends. */
  async send(arrival: Arrival, dueAt: number): Promise<CallerRecord> {
    const { urls, keys, plainPath } = this.#destination;
    const daemon = urls[arrival.index % urls.length] ?? "";
    const key = keys[arrival.workspace];
    const caller = new Caller(daemon, {
      agent: this.#agent,
      ...(key === undefined ? {} : { key }),
    });
    const options = this.#optionsOf(arrival);
    const sentAt = nowMs();
    const answer =
      await (arrival.model === undefined
        ? caller.plain(`/services/${arrival.service}${plainPath}`, {
          ...options,
          body: JSON.stringify({ card: arrival.index }),
        })
        : caller.chat(arrival.model, {
          ...options,
          ...promptOf(arrival),
          streamed: arrival.streamed,
          testTokens: Math.max(1, arrival.outputTokens),
        }));
    const { idempotencyKey } = options;
    return { arrival, daemon, idempotencyKey, dueAt, sentAt, answer };
  }

  #optionsOf(arrival: Arrival): CallOptions {
    const { patienceMs, idempotencyKeys, runName } = this.#sending;
    const common = {
      class: arrival.class,
      signal: AbortSignal.timeout(patienceMs),
      idleMs: patienceMs,
    };
    if (arrival.repeatable) return common;
    if (!idempotencyKeys) return { ...common, repeatable: false };
    const idempotencyKey = `${runName}-${arrival.index}`;
    return { ...common, repeatable: false, idempotencyKey };
  }

  close(): void {
    this.#agent.destroy();
  }
}

/**
 * Sends every arrival when it is due and resolves with their records, in the
 * order of arrivals, once all have ended.
 *
 * @example
 * ```ts
 * const records = await sendAll(
 *   arrivals(mixOf("cooperative"), { seed: 1, phases }),
 *   { urls, keys: stack.keys, plainPath: "/cards" },
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
    if (sending.signal?.aborted === true) break;
    pending.push(sender.send(arrival, dueAt));
  }
  const records = await Promise.all(pending);
  sender.close();
  return records;
}
