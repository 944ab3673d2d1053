/**
 * Exports the daemon's components for its composition root and for tests.
 *
 * @module
 */
export {
  DEFAULT_CONNECTION_LIMITS,
  RunnerConnections,
} from "./connection/runner_connections.ts";
export type { ConnectionLimits } from "./connection/runner_connections.ts";
export { DEFAULT_RETRY_BUDGET, RetryBudget } from "./process/retry_budget.ts";
export type { RetryBudgetSettings } from "./process/retry_budget.ts";
export { DEFAULT_ATTEMPT_SETTINGS } from "./request/attempt_settings.ts";
export type { AttemptSettings } from "./request/attempt_settings.ts";
export { IdempotentCallRunner } from "./request/idempotent_call_runner.ts";
export type { IdempotentServices } from "./request/idempotent_call_runner.ts";
export { RetryingCallRunner } from "./request/retrying_call_runner.ts";
export type { CallServices } from "./request/retrying_call_runner.ts";
export { makeScheduler } from "./request/scheduling.ts";
export type {
  Policy,
  SchedulerDependencies,
  SchedulingSettings,
} from "./request/scheduling.ts";
export type { Scheduler } from "./request/scheduler.ts";
export type { Ask, Grant, Refusal, Settlement } from "./request/ask.ts";
export { RunnerDirectory } from "./process/runner_directory.ts";
export type { Runner } from "./process/runner.ts";
export type { TableSource } from "./process/table_source.ts";
export { tableSourceOf } from "./version/feed_table_source.ts";
export type { Fields, Log } from "./process/log.ts";
