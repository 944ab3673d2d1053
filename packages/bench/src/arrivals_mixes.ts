/**
 * What the two deployments send.
 *
 * @module
 */
import type { Mix, Sender } from "./arrivals.ts";

const WORKSPACES = 10;
const LARGE = 3;
const LARGE_WEIGHT = 5;

/** Ten workspaces, of which three send five times as much as the others. */
export function senders(prefix: string): readonly Sender[] {
  return Array.from({ length: WORKSPACES }, (_, i) => ({
    workspace: `${prefix}-${i + 1}`,
    weight: i < LARGE ? LARGE_WEIGHT : 1,
  }));
}

/**
 * The co-operative: short quotes and queries, long cut sheets that come when
 * fitters finish measuring together, and job cards of a plain service.
 */
export const COOPERATIVE: Mix = {
  name: "cooperative",
  sources: [
    {
      class: "quote",
      service: "drafting-llm",
      model: "draft-1",
      requestsPerSecond: 6,
      prompt: { median: 120, spread: 0.4, min: 20, max: 600 },
      output: { median: 40, spread: 0.4, min: 8, max: 160 },
      streamed: true,
      repeatable: true,
      senders: senders("member"),
      prefixes: 4,
    },
    {
      class: "query",
      service: "drafting-llm",
      model: "draft-1",
      requestsPerSecond: 4,
      prompt: { median: 80, spread: 0.5, min: 10, max: 500 },
      output: { median: 50, spread: 0.5, min: 8, max: 200 },
      streamed: true,
      repeatable: true,
      senders: senders("member"),
      prefixes: 4,
    },
    {
      class: "cut-sheet",
      service: "drafting-llm",
      model: "draft-1",
      requestsPerSecond: 2,
      clustering: { size: 6, withinMs: 400, periodic: false },
      prompt: { median: 900, spread: 0.5, min: 200, max: 4_000 },
      output: { median: 300, spread: 0.7, min: 60, max: 1_500 },
      streamed: true,
      repeatable: true,
      senders: senders("member"),
      prefixes: 8,
    },
    {
      class: "job-card",
      service: "yard-app",
      requestsPerSecond: 2,
      prompt: { median: 0, spread: 0, min: 0, max: 0 },
      output: { median: 0, spread: 0, min: 0, max: 0 },
      streamed: false,
      repeatable: false,
      senders: senders("member"),
      prefixes: 1,
    },
  ],
};

/**
 * The metro association: answers to dispatchers, explanations of alerts, long
 * briefings all due at the same hour, and crew notices of a plain service.
 */
export const METRO: Mix = {
  name: "metro",
  sources: [
    {
      class: "dispatcher",
      service: "umbermast-pool",
      model: "forecast-1",
      requestsPerSecond: 5,
      prompt: { median: 150, spread: 0.4, min: 20, max: 800 },
      output: { median: 40, spread: 0.4, min: 8, max: 160 },
      streamed: true,
      repeatable: true,
      senders: senders("station"),
      prefixes: 6,
    },
    {
      class: "alert",
      service: "umbermast-pool",
      model: "forecast-1",
      requestsPerSecond: 5,
      clustering: { size: 4, withinMs: 200, periodic: false },
      prompt: { median: 100, spread: 0.4, min: 20, max: 400 },
      output: { median: 60, spread: 0.4, min: 10, max: 200 },
      streamed: true,
      repeatable: true,
      senders: senders("station"),
      prefixes: 6,
    },
    {
      class: "briefing",
      service: "umbermast-pool",
      model: "forecast-1",
      requestsPerSecond: 2,
      clustering: { size: 12, withinMs: 500, periodic: true },
      prompt: { median: 1_200, spread: 0.4, min: 300, max: 4_000 },
      output: { median: 350, spread: 0.5, min: 80, max: 1_500 },
      streamed: false,
      repeatable: true,
      senders: senders("station"),
      prefixes: 3,
    },
    {
      class: "crew-notice",
      service: "notify-app",
      requestsPerSecond: 2,
      prompt: { median: 0, spread: 0, min: 0, max: 0 },
      output: { median: 0, spread: 0, min: 0, max: 0 },
      streamed: false,
      repeatable: false,
      senders: senders("station"),
      prefixes: 1,
    },
  ],
};

/** The mixes by name. */
export const MIXES: readonly Mix[] = [COOPERATIVE, METRO];

/** Finds a mix; throws when no deployment has that name. */
export function mixOf(name: string): Mix {
  const found = MIXES.find((mix) => mix.name === name);
  if (found !== undefined) return found;
  const names = MIXES.map((mix) => `"${mix.name}"`).join(" or ");
  throw new RangeError(`Cannot find mix "${name}": expected ${names}`);
}
