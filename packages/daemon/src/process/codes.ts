/**
 * Stable codes of errors and warnings. docs/codes.md explains each; a test
 * checks that page and code agree.
 *
 * @module
 */

/**
 * Codes of errors returned to callers, each with its HTTP statuses, the most
 * common one first.
 */
export const PROBLEM_STATUSES = {
  answer_broken: [502],
  answer_crossed: [502],
  answer_lost: [502],
  body_invalid: [400],
  body_stalled: [408],
  body_timeout: [408],
  body_too_large: [413],
  buffers_full: [503],
  claims_unavailable: [503],
  class_unknown: [400],
  content_type_unsupported: [415],
  deadline_passed: [503, 504],
  expectation_unsupported: [417],
  grant_expired: [503],
  header_timeout: [408],
  header_too_large: [431],
  http_version_unsupported: [426],
  idempotency_key_invalid: [400],
  idempotency_key_reused: [422],
  internal: [500],
  key_invalid: [401],
  leaving: [503],
  limit_reached: [429],
  may_have_run: [409],
  method_unsupported: [405],
  model_unknown: [404],
  no_runner: [503],
  not_ready: [503],
  path_unknown: [404],
  pipelining_unsupported: [400],
  queue_full: [503],
  repeatable_invalid: [400],
  request_invalid: [400],
  runner_failed: [502],
  runner_refused: [503],
  runner_silent: [504],
  runner_unreachable: [503],
  service_unknown: [404],
  stopped: [503],
  too_many_requests: [503],
  transfer_encoding_unsupported: [400],
} as const;

/** Code of an error returned to a caller. */
export type ProblemCode = keyof typeof PROBLEM_STATUSES;
