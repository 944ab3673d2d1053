/**
 * Callers that go by the page on outcomes: they try again elsewhere when the
 * outcome says that they may.
 *
 * @module
 */
import type { Agent } from "node:http";
import { ClientAgent } from "@umbermast/coordination/client_socket";
import { setTimeout as pause } from "node:timers/promises";
import { type Answer, Caller } from "@umbermast/testing";
import type { Arrival } from "./arrivals.ts";
import type { CallerRecord } from "./load_record.ts";

/** All tries of one request; the last one is what the caller has. */
export interface CallerStory {
  readonly arrival: Arrival;
  readonly tries: readonly CallerRecord[];
}

/** How callers behave. */
export interface Callers {
  /** Addresses that the balancer knows, asked for at each try. */
  readonly urls: () => readonly string[];
  readonly keys: Readonly<Record<string, string>>;
  readonly plainPath: string;
  /** Makes the keys of one slot differ from those of another. */
  readonly slotName: string;
}

const CONFLICT = 409;
const MAX_TRIES = 4;
const PAUSE_MS = 250;
/** Silence after which a caller gives its connection up. */
const IDLE_MS = 8_000;

function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/**
 * Whether a try may be followed by another. What may not be repeated has a key
 * in this bench, so a retry is safe and may fetch the first try's answer; a
 * conflict without a time to come back is final.
 */
function mayRetry(answer: Answer): boolean {
  if (answer.outcome === "complete") return false;
  if (answer.outcome === "corrupt") return false;
  return answer.status !== CONFLICT || answer.retryAfterMs !== undefined;
}

/** Sends every arrival when it is due, and follows each to its end. */
export async function sendStories(
  sent: readonly Arrival[],
  callers: Callers,
): Promise<readonly CallerStory[]> {
  const agent = new ClientAgent({ keepAlive: true, maxSockets: Infinity });
  const startedAt = nowMs();
  const stories: Promise<CallerStory>[] = [];
  for (const arrival of sent) {
    const dueAt = startedAt + arrival.atMs;
    const early = dueAt - nowMs();
    if (early > 1) await pause(early);
    stories.push(follow(arrival, dueAt, { callers, agent }));
  }
  const all = await Promise.all(stories);
  agent.destroy();
  return all;
}

async function follow(
  arrival: Arrival,
  dueAt: number,
  from: { readonly callers: Callers; readonly agent: Agent },
): Promise<CallerStory> {
  const tries: CallerRecord[] = [];
  for (let at = 0; at < MAX_TRIES; at++) {
    const record = await sendOnce(arrival, { ...from, at, dueAt });
    tries.push(record);
    if (!mayRetry(record.answer)) break;
    await pause(record.answer.retryAfterMs ?? PAUSE_MS);
  }
  return { arrival, tries };
}

async function sendOnce(
  arrival: Arrival,
  from: {
    readonly callers: Callers;
    readonly agent: Agent;
    readonly at: number;
    readonly dueAt: number;
  },
): Promise<CallerRecord> {
  const { callers, agent, at, dueAt } = from;
  const urls = callers.urls();
  const daemon = urls[(arrival.index + at) % urls.length] ?? "";
  const key = callers.keys[arrival.workspace] ?? "";
  const caller = new Caller(daemon, { agent, key });
  const idempotencyKey = arrival.repeatable
    ? undefined
    : `${callers.slotName}-${arrival.index}`;
  const options = {
    class: arrival.class,
    idleMs: IDLE_MS,
    ...(idempotencyKey === undefined
      ? {}
      : { repeatable: false, idempotencyKey }),
  };
  const sentAt = nowMs();
  const answer =
    await (arrival.model === undefined
      ? caller.plain(`/services/${arrival.service}${callers.plainPath}`, {
        ...options,
        body: JSON.stringify({ card: arrival.index }),
      })
      : caller.chat(arrival.model, {
        ...options,
        streamed: arrival.streamed,
        prompt: `${arrival.class} ${arrival.prefix} ${arrival.index}`,
        testTokens: Math.max(1, arrival.outputTokens),
      }));
  return { arrival, daemon, idempotencyKey, dueAt, sentAt, answer };
}
