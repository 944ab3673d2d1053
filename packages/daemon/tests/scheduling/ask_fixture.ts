/**
 * Asks for a slot, and how an attempt ends.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";
import type { AskMessage } from "../../src/process/scheduling/messages.ts";
import type { Ask, Settlement } from "../../src/request/ask.ts";
import { SERVICE } from "./runner_fixture.ts";

let asks = 0;

export function askOf(fields: Partial<AskMessage> = {}): AskMessage {
  asks += 1;
  return {
    type: "ask",
    askId: `ask-${asks}`,
    epoch: 1,
    requestId: `request-${asks}`,
    service: SERVICE,
    workspace: "member-1",
    class: "quote",
    promptTokens: 100,
    remainingMs: 60_000,
    waitedMs: 0,
    excluded: [],
    alone: false,
    ...fields,
  };
}

/** An ask as an attempt makes it. */
export function requestOf(clock: Clock, fields: Partial<Ask> = {}): Ask {
  asks += 1;
  return {
    askId: `ask-${asks}`,
    requestId: `request-${asks}`,
    service: SERVICE,
    workspace: "member-1",
    class: "quote",
    promptTokens: 100,
    deadline: clock.now() + 60_000,
    excluded: [],
    ...fields,
  };
}

export const SETTLED: Settlement = {
  outcome: "complete",
  promptTokens: 100,
  outputTokens: 50,
};
