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
  subject: RoutedRequest,
  overload: {
    readonly choice: RunnerChoice;
    readonly waitedMs: number;
    /** Whether the response would have finished in the caller's time. */
    readonly inTime: boolean;
  },
): void {
  const { choice, waitedMs, inTime } = overload;
  const pace = daemon.pace(subject.service.name)
    .msPerToken(choice.runner.id, daemon.now());
  const { total: all } = daemon.loads.of(choice.runner.id);
  daemon.log.decision("overload_found", subject.head.id, {
    service: subject.service.name,
    runner: choice.runner.id,
    rank: subject.rank,
    candidates: choice.candidates,
    in_flight: all.inFlight,
    backlog_tokens: all.unreadTokens,
    work_tokens: all.workTokens,
    memory_tokens: all.memoryTokens,
    waited_ms: Math.round(waitedMs),
    in_time: inTime,
    ms_per_token: pace === undefined ? undefined : Math.round(pace),
    expected_tokens: subject.head.expectedOutputTokens,
    runners_age_ms: Math.round(daemon.runnersAgeMs()),
  });
}

/** Logs that all runners that are left are at their rate limits. */
export function logLimitsReached(
  daemon: Daemon,
  subject: RoutedRequest,
  limits: {
    readonly limited: number;
    readonly waitedMs: number;
    /** Whether this daemon has a share of any of these limits. */
    readonly hasPart: boolean;
  },
): void {
  daemon.log.decision("limits_reached", subject.head.id, {
    service: subject.service.name,
    rank: subject.rank,
    limited: limits.limited,
    has_part: limits.hasPart,
    waited_ms: Math.round(limits.waitedMs),
    runners_age_ms: Math.round(daemon.runnersAgeMs()),
  });
}

/** Logs that a request waits for a runner, and the work ahead of it. */
export function logCapacityWait(
  daemon: Daemon,
  subject: RoutedRequest,
  wait: { readonly choice: RunnerChoice; readonly turn: QueueKey },
): void {
  const { runner, candidates, prefillTokens: unreadTokens } = wait.choice;
  const load = daemon.loads.of(runner.id);
  daemon.log.decision("room_awaited", subject.head.id, {
    service: subject.service.name,
    runner: runner.id,
    rank: subject.rank,
    candidates,
    in_flight: load.total.inFlight,
    backlog_tokens: load.total.unreadTokens,
    ahead_tokens: load.queue.workAhead(wait.turn, daemon.now()).unreadTokens,
    unread_tokens: unreadTokens,
    runners_age_ms: Math.round(daemon.runnersAgeMs()),
  });
}

/** Logs that a request is not sent because runners crash while running it. */
export function logQuarantine(
  daemon: Daemon,
  requestId: string,
  refused: { readonly quarantine: Quarantine; readonly fingerprint: string },
): void {
  const { quarantine, fingerprint } = refused;
  daemon.log.decision("quarantine_kept", requestId, {
    fingerprint,
    ends: quarantine.crashes,
    last_end_age_ms: Math.round(daemon.now() - quarantine.lastCrashAt),
    left_ms: Math.round(quarantine.leftMs),
  });
}

/** Logs the selected runner and its known state. */
export function logRunnerChosen(
  daemon: Daemon,
  subject: RoutedRequest,
  chosen: {
    readonly choice: RunnerChoice;
    /** The same for each attempt of the request. */
    readonly fingerprint: string;
    readonly leftMs: number;
  },
): void {
  const { head: call, route, service, version } = subject;
  const { choice, fingerprint, leftMs } = chosen;
  const load = daemon.loads.of(choice.runner.id);
  daemon.log.decision("runner_chosen", call.id, {
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
    unread_tokens: choice.prefillTokens,
    fetch_from: choice.fetchFrom?.id,
    prompt_tokens: call.promptTokens,
    shared_part: call.prompt.at(-2)?.id,
    rank: subject.rank,
    runners_age_ms: Math.round(daemon.runnersAgeMs()),
    left_ms: Math.round(leftMs),
  });
}
