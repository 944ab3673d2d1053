/**
 * Log lines about the decisions on a request. Fields that several of them have:
 *
 * - `backlog_tokens`: prompt tokens at the runner that await prefill;
 * - `prefill_tokens`: prompt tokens of the request that the runner has to prefill;
 * - `rank`: urgency of the request, 0 being the most urgent;
 * - `requests`, `ahead`, `limit`, `expected_wait_ms`, `response_ms`: capacity of
 *   the runner of a plain service, see {@linkcode PlainRoom};
 * - `known_ms`: age at which changes at other daemons are known here;
 * - `runners_age_ms`: milliseconds since the list of runners was confirmed.
 *
 * @module
 */
import type { Quarantine } from "../process/crash_record.ts";
import type { Runner } from "../process/runner.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Daemon } from "./daemon.ts";
import type { RunnerChoice } from "./placement.ts";
import type { PlainRoom } from "./plain_admission.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** The capacity of a plain service's runner, where its requests are queued. */
function plainFields(daemon: Daemon, room: PlainRoom | undefined) {
  if (room === undefined) return {};
  const { requests, ahead, limit, unreported, delayMs, responseMs } = room;
  return {
    requests,
    ahead,
    limit: Math.round(limit + unreported),
    expected_wait_ms: Math.round(delayMs),
    response_ms: responseMs === undefined ? undefined : Math.round(responseMs),
    known_ms: Math.round(daemon.propagationMs()),
  };
}

/**
 * Logs that no runner has capacity for a request or can complete it before its
 * deadline, and the load of the best runner.
 */
export function logOverload(
  daemon: Daemon,
  routed: RoutedRequest,
  overload: {
    readonly choice: RunnerChoice;
    readonly waitedMs: number;
    /** Whether the response would be complete before the caller's deadline. */
    readonly inTime: boolean;
  },
): void {
  const { choice, waitedMs, inTime } = overload;
  const msPerToken = daemon.streamPace(routed.service.name)
    .msPerToken(choice.runner.id, daemon.now());
  const { total } = daemon.loads.of(choice.runner.id);
  daemon.log.decision("overload_detected", routed.head.id, {
    service: routed.service.name,
    runner: choice.runner.id,
    rank: routed.rank,
    candidates: choice.candidates,
    in_flight: total.inFlight,
    backlog_tokens: total.unreadTokens,
    work_tokens: total.workTokens,
    memory_tokens: total.memoryTokens,
    waited_ms: Math.round(waitedMs),
    in_time: inTime,
    ms_per_token: msPerToken === undefined ? undefined : Math.round(msPerToken),
    expected_tokens: routed.head.expectedOutputTokens,
    ...plainFields(daemon, choice.room),
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/**
 * Logs that every suitable runner that the request has not tried yet is at its
 * rate limit or asked for a pause: the number of runners with `limited` rates and
 * of those `paused` now, and whether this daemon `has_share` of any of the limits,
 * which are divided among daemons.
 */
export function logLimitsReached(
  daemon: Daemon,
  routed: RoutedRequest,
  search: {
    /** The untried runners that state a limit or asked for a pause. */
    readonly restricted: readonly Runner[];
    readonly waitedMs: number;
  },
): void {
  const { limits, pauses } = daemon;
  const now = daemon.now();
  const { restricted, waitedMs } = search;
  const limited = restricted.filter(({ id }) =>
    limits.perSecond(id) !== undefined
  );
  const paused = restricted.filter(({ id }) => !pauses.allowsRequest(id, now));
  daemon.log.decision("limits_reached", routed.head.id, {
    service: routed.service.name,
    rank: routed.rank,
    limited: limited.length,
    paused: paused.length,
    has_share: limited.some(({ id }) => limits.hasShare(id, now)),
    waited_ms: Math.round(waitedMs),
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/**
 * Logs that a request waits for a runner's capacity, and the work of the requests
 * that come before it.
 */
export function logCapacityWait(
  daemon: Daemon,
  routed: RoutedRequest,
  wait: { readonly choice: RunnerChoice; readonly queueKey: QueueKey },
): void {
  const { runner, candidates, prefillTokens } = wait.choice;
  const load = daemon.loads.of(runner.id);
  daemon.log.decision("capacity_awaited", routed.head.id, {
    service: routed.service.name,
    runner: runner.id,
    rank: routed.rank,
    candidates,
    in_flight: load.total.inFlight,
    backlog_tokens: load.total.unreadTokens,
    ahead_tokens:
      load.queue.workAhead(wait.queueKey, daemon.now()).unreadTokens,
    prefill_tokens: prefillTokens,
    ...plainFields(daemon, wait.choice.room),
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/**
 * Logs that a request is not sent because runners crashed while running it.
 * `ends` is the number of crashes, and `left_ms` the remaining time of the
 * quarantine.
 */
export function logQuarantine(
  daemon: Daemon,
  requestId: string,
  refusal: { readonly quarantine: Quarantine; readonly fingerprint: string },
): void {
  const { quarantine, fingerprint } = refusal;
  daemon.log.decision("quarantine_applied", requestId, {
    fingerprint,
    ends: quarantine.crashes,
    last_end_age_ms: Math.round(daemon.now() - quarantine.lastCrashAt),
    left_ms: Math.round(quarantine.leftMs),
  });
}

/**
 * Logs the chosen runner and what is known of its state. `reported` is the number
 * of requests at the runner, from its own report if that is higher;
 * `limit_per_s` is the rate limit that the runner states; `left_ms` is the time
 * until the caller's deadline.
 */
export function logRunnerChosen(
  daemon: Daemon,
  routed: RoutedRequest,
  chosen: {
    readonly choice: RunnerChoice;
    /** Hash of the request's content, which is the same for each attempt. */
    readonly fingerprint: string;
    /** Milliseconds until the caller's deadline. */
    readonly remainingMs: number;
  },
): void {
  const { head, route, service, version } = routed;
  const { choice, fingerprint, remainingMs } = chosen;
  const load = daemon.loads.of(choice.runner.id);
  daemon.log.decision("runner_chosen", head.id, {
    fingerprint,
    route: route.name,
    service: service.name,
    version,
    runner: choice.runner.id,
    reason: choice.reason,
    candidates: choice.candidates,
    in_flight: load.total.inFlight,
    reported: load.requestCount(daemon.now()),
    limit_per_s: daemon.limits.perSecond(choice.runner.id),
    failed_percent: Math.round(100 * load.failureRate(daemon.now())),
    backlog_tokens: load.total.unreadTokens,
    prefill_tokens: choice.prefillTokens,
    fetch_from: choice.fetchFrom?.id,
    prompt_tokens: head.promptTokens,
    // The last part of a prompt is specific to the request.
    shared_part: head.prompt.at(-2)?.id,
    rank: routed.rank,
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
    left_ms: Math.round(remainingMs),
  });
}
