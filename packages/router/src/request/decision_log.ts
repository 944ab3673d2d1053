/**
 * Log lines about the decisions on a request.
 *
 * @module
 */
import type { Quarantine } from "../process/crash_record.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Daemon } from "./daemon.ts";
import type { RunnerChoice } from "./placement.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Logs that no runner had capacity for a request, and the load of the best one.
 */
export function logOverload(
  daemon: Daemon,
  routed: RoutedRequest,
  overload: {
    readonly choice: RunnerChoice;
    readonly waitedMs: number;
    /** Whether the response would have finished in the caller's time. */
    readonly inTime: boolean;
  },
): void {
  const { choice, waitedMs, inTime } = overload;
  const pace = daemon.streamPace(routed.service.name)
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
    ms_per_token: pace === undefined ? undefined : Math.round(pace),
    expected_tokens: routed.head.expectedOutputTokens,
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/** Logs that all runners that are left are at their rate limits. */
export function logLimitsReached(
  daemon: Daemon,
  routed: RoutedRequest,
  limits: {
    readonly limited: number;
    readonly waitedMs: number;
    /** Whether this daemon has a share of any of these limits. */
    readonly hasShare: boolean;
  },
): void {
  daemon.log.decision("limits_reached", routed.head.id, {
    service: routed.service.name,
    rank: routed.rank,
    limited: limits.limited,
    has_share: limits.hasShare,
    waited_ms: Math.round(limits.waitedMs),
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/** Logs that a request waits for a runner, and the work ahead of it. */
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
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/** Logs that a request is not sent because runners crash while running it. */
export function logQuarantine(
  daemon: Daemon,
  requestId: string,
  refused: { readonly quarantine: Quarantine; readonly fingerprint: string },
): void {
  const { quarantine, fingerprint } = refused;
  daemon.log.decision("quarantine_applied", requestId, {
    fingerprint,
    ends: quarantine.crashes,
    last_end_age_ms: Math.round(daemon.now() - quarantine.lastCrashAt),
    left_ms: Math.round(quarantine.leftMs),
  });
}

/** Logs the selected runner and its known state. */
export function logRunnerChosen(
  daemon: Daemon,
  routed: RoutedRequest,
  chosen: {
    readonly choice: RunnerChoice;
    /** The same for each attempt of the request. */
    readonly fingerprint: string;
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
    limit_per_s: daemon.limits.of(choice.runner.id),
    failed_percent: Math.round(100 * load.failureRate(daemon.now())),
    backlog_tokens: load.total.unreadTokens,
    prefill_tokens: choice.prefillTokens,
    fetch_from: choice.fetchFrom?.id,
    prompt_tokens: head.promptTokens,
    shared_part: head.prompt.at(-2)?.id,
    rank: routed.rank,
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
    left_ms: Math.round(remainingMs),
  });
}
