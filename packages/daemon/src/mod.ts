/**
 * The daemon's parts, for its composition root and for tests.
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
