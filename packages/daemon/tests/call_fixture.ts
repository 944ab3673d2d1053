/**
 * Calls, and what runs them in tests.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import { RunnerConnections } from "../src/connection/runner_connections.ts";
import type { Log } from "../src/process/log.ts";
import { RetryBudget } from "../src/process/retry_budget.ts";
import type { Runner } from "../src/process/runner.ts";
import { DEFAULT_ATTEMPT_SETTINGS } from "../src/request/attempt_settings.ts";
import type { AttemptSettings } from "../src/request/attempt_settings.ts";
import type { Call } from "../src/request/call.ts";
import { RetryingCallRunner } from "../src/request/retrying_call_runner.ts";
import type { CallServices } from "../src/request/retrying_call_runner.ts";
import { FixtureScheduler } from "./scheduler_fixture.ts";

/** A streamed, repeatable chat request; the fields given replace its own. */
export function callOf(fields: Partial<Call> = {}): Call {
  const now = Date.now();
  return {
    requestId: "r1",
    workspace: "showroom",
    class: "quote",
    tier: 0,
    service: "drafting-llm",
    model: "worktop-1",
    method: "POST",
    path: "/v1/chat/completions",
    headers: [{ name: "content-type", value: "application/json" }],
    body: Buffer.from('{"stream":true}'),
    streamed: true,
    repeatable: true,
    promptTokens: 10,
    arrivedAt: now,
    deadline: now + 60_000,
    ...fields,
  };
}

/** A call of a plain service that may not be repeated. */
export function jobCard(fields: Partial<Call> = {}): Call {
  const { model: _model, ...call } = callOf({
    service: "yard-app",
    path: "/job-cards",
    body: Buffer.from('{"job":7}'),
    streamed: false,
    repeatable: false,
  });
  return { ...call, ...fields };
}

/** One event of the log. */
export interface Logged {
  readonly name: string;
  readonly [field: string]: string | number | boolean | undefined;
}

/** A runner of calls over the runners given, with what it did. */
export interface CallBench {
  readonly scheduler: FixtureScheduler;
  readonly logged: readonly Logged[];
  readonly budget: RetryBudget;
  readonly callRunner: RetryingCallRunner;
  readonly connections: RunnerConnections;
  readonly log: Log;
}

/** Builds a runner of calls; short limits replace the defaults where given. */
export function callBench(
  runners: readonly Runner[],
  options: {
    readonly settings?: Partial<AttemptSettings>;
    readonly services?: Partial<CallServices>;
  } = {},
): CallBench {
  const scheduler = new FixtureScheduler(runners);
  const logged: Logged[] = [];
  const log: Log = {
    event: (name, fields) => logged.push({ name, ...fields }),
    decision: (name, fields) => logged.push({ name, ...fields }),
    warning: (name, fields) => logged.push({ name, ...fields }),
  };
  const budget = new RetryBudget({ share: 0.1, burst: 5 });
  const connections = new RunnerConnections();
  const callRunner = new RetryingCallRunner({
    scheduler,
    retryBudget: budget,
    connections,
    clock: SYSTEM_CLOCK,
    log,
    settings: { ...DEFAULT_ATTEMPT_SETTINGS, ...options.settings },
    ...options.services,
  });
  return { scheduler, logged, log, budget, callRunner, connections };
}
