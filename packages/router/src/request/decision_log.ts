/**
 * Log lines about the decisions on a request. Fields that several of them have:
 *
 * - `backlog_tokens`: prompt tokens at the runner that await prefill;
 * - `prefill_tokens`: prompt tokens of the request that the runner has to prefill;
 * - `parts`: parts of the prompt that other prompts may share, `shared_part` being the
 *   deepest;
 * - `rank`: urgency of the request, 0 being the most urgent;
 * - `requests`, `ahead`, `limit`, `expected_wait_ms`, `response_ms`: capacity of
 *   the runner of a plain service, see {@linkcode PlainRoom};
 * - `software`: software version of the runner;
 * - `known_ms`: age at which changes at other daemons are known here;
 * - `runners_age_ms`: milliseconds since the store last responded to this daemon
 *   about runners; it grows at daemons that do not watch the store;
 * - `heard_ms`: milliseconds since any peer last sent its versions.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { AnswerCut } from "../process/buffer_budget.ts";
import { ageFields } from "../process/data_ages.ts";
import type { Quarantine } from "../process/crash_record.ts";
import type { Fields } from "../process/log_line.ts";
import type { PlaceOutcome } from "../process/metrics.ts";
import type { ReturnPlace } from "../process/return_places.ts";
import type { Runner } from "../process/runner.ts";
import type { LaterRequests, QueueKey } from "../process/runner_queue.ts";
import type { SharedKey } from "../process/share_order.ts";
import { SHARE_UNITS } from "../process/workspace_shares.ts";
import type { Refusal } from "./refusal.ts";
import type { RunnerLife } from "../connection/life_detector.ts";
import type { Attempt } from "./attempt.ts";
import type { Daemon } from "./daemon.ts";
import type { RequestHead } from "./dialect.ts";
import { partSuspects } from "./part_suspects.ts";
import { isPart } from "../process/suspect.ts";
import type { RunnerChoice } from "./placement.ts";
import type { QueueOutlook } from "./retry_delay.ts";
import type { PlainRoom } from "./plain_admission.ts";
import type { Progress } from "./progress.ts";
import type { FoundOrigin, UnknownReason } from "./stream_resumption.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Maximum number of logged characters of a host or path. */
const MAX_TARGET_LENGTH = 128;
/** The scheme and authority of an absolute target, and a query or fragment. */
const NOT_PATH = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*|[?#].*$/gis;

/**
 * Fields of the end of a request that routing itself refused: what was asked for,
 * without the query, and how old the data is by which that was decided.
 */
export function refusalFields(
  daemon: Daemon,
  { host }: RequestHead,
  refused: { readonly refusal: Refusal; readonly request: IncomingMessage },
): Fields {
  const { refusal, request } = refused;
  const path = (request.url ?? "/").replace(NOT_PATH, "");
  const inForceMs = daemon.inForceMs();
  return {
    status: refusal.status,
    host: host.slice(0, MAX_TARGET_LENGTH),
    path: path.slice(0, MAX_TARGET_LENGTH),
    in_force_ms: inForceMs === undefined ? undefined : Math.round(inForceMs),
    ...ageFields(daemon.dataAges()),
  };
}

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
 * Fields on the observed pace of a runner: `backlog_ms`, in which it prefills its
 * backlog, and `chunk_step_ms`, the duration of its steps meanwhile. None where
 * scheduling is not adaptive.
 */
function observedPaceFields(
  daemon: Daemon,
  { service }: RoutedRequest,
  runner: string,
): Fields {
  if (!daemon.scheduling.isAdaptive(service.name)) return {};
  const now = daemon.now();
  const pace = daemon.runnerPace(service.name);
  const { unreadTokens } = daemon.loads.of(runner).total;
  return {
    backlog_ms: Math.round(pace.prefillMs(runner, unreadTokens, now)),
    chunk_step_ms: Math.round(pace.chunkStepMs(runner, now)),
  };
}

/**
 * Logs that no runner has capacity for a request or can complete it before its
 * deadline, and the load of the best runner: `unknown` is the number of requests
 * there that only the runner reports.
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
  const load = daemon.loads.of(choice.runner.id);
  const { total } = load;
  const pace = observedPaceFields(daemon, routed, choice.runner.id);
  daemon.log.decision("overload_detected", routed.head.id, {
    service: routed.service.name,
    runner: choice.runner.id,
    rank: routed.rank,
    candidates: choice.candidates,
    in_flight: total.inFlight,
    backlog_tokens: total.unreadTokens,
    work_tokens: total.workTokens,
    memory_tokens: total.memoryTokens,
    unknown: load.unknownRequests(daemon.now()) || undefined,
    waited_ms: Math.round(waitedMs),
    in_time: inTime,
    ms_per_token: msPerToken === undefined ? undefined : Math.round(msPerToken),
    expected_tokens: routed.head.expectedOutputTokens,
    ...pace,
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
 * Logs that a waiting request stands behind later ones of its rank, because its
 * workspace has had more of the recent cost than theirs: the shares of its
 * workspace and of the one that has had least, in percent, the number of later
 * `requests` ahead, and the age of other daemons' sums.
 */
export function logPlaceBehindShare(
  daemon: Daemon,
  routed: RoutedRequest,
  place: {
    readonly runner: Runner;
    readonly key: SharedKey;
    readonly before: LaterRequests;
  },
): void {
  const { runner, key, before } = place;
  const { updatedAt } = daemon.shares;
  const percent = (share: number) => Math.round(100 * share / SHARE_UNITS);
  daemon.log.decision("share_exceeded", routed.head.id, {
    service: routed.service.name,
    runner: runner.id,
    rank: routed.rank,
    workspace: key.flow.workspace,
    share_percent: percent(daemon.shares.share(key.flow, daemon.now())),
    place_percent: percent(key.share),
    lowest_percent: percent(before.lowestShare),
    requests: before.requests,
    sums_age_ms: updatedAt === undefined
      ? undefined
      : Math.round(daemon.now() - updatedAt),
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
    part: isPart(quarantine.suspect) ? quarantine.suspect : undefined,
    ends: quarantine.crashes,
    last_end_age_ms: Math.round(daemon.now() - quarantine.lastCrashAt),
    left_ms: Math.round(quarantine.leftMs),
  });
}

/**
 * Logs that a caller resumes a stream that began at a software version: how that
 * became known, from which `peer`, `known_ms` ago and after a wait of `waited_ms`.
 */
export function logStreamResumed(
  daemon: Daemon,
  { head }: RoutedRequest,
  found: { readonly origin: FoundOrigin; readonly waitedMs: number },
): void {
  const { service, software, source, peer, ageMs } = found.origin;
  daemon.log.decision("stream_resumed", head.id, {
    resumes: head.resumes,
    from_event: head.lastEventId,
    service,
    software,
    source,
    peer,
    known_ms: Math.round(ageMs),
    waited_ms: Math.round(found.waitedMs),
  });
}

/** Logs that a stream is not resumed, because nobody knows where it began. */
export function logStreamUnknown(
  daemon: Daemon,
  { head, service }: RoutedRequest,
  unknown: { readonly reason: UnknownReason; readonly waitedMs: number },
): void {
  daemon.log.decision("stream_unknown", head.id, {
    resumes: head.resumes,
    from_event: head.lastEventId,
    service: service.name,
    reason: unknown.reason,
    waited_ms: Math.round(unknown.waitedMs),
    ...ageFields(daemon.dataAges()),
  });
}

/**
 * Logs that no runner is left that may continue a stream: the software version that
 * began it, and the numbers of `ready` runners of the service and of those that were
 * `tried`. Does nothing for a request that continues no stream.
 */
export function logVersionUnavailable(
  daemon: Daemon,
  { head, service }: RoutedRequest,
  { origin, triedRunners }: Pick<Progress, "origin" | "triedRunners">,
): void {
  if (origin === undefined) return;
  daemon.log.decision("version_unavailable", head.id, {
    service: service.name,
    software: origin.software,
    ready: daemon.fleet(service.name).runners.length,
    tried: triedRunners.size,
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/**
 * Logs the chosen runner and what is known of its state. `reported` is the number
 * of requests at the runner, from its own report if that is higher;
 * `limit_per_s` is the rate limit that the runner states; `left_ms` is the time
 * until the caller's deadline; `resumes` is the attempt whose stream the caller
 * resumes, and `from_event` the last event that it has.
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
    /** Last event that the caller has, if the attempt continues a stream. */
    readonly lastEventId: number | undefined;
  },
): void {
  const { head, route, service, version } = routed;
  const { choice, fingerprint, remainingMs } = chosen;
  const { heardMs } = daemon.dataAges();
  const load = daemon.loads.of(choice.runner.id);
  daemon.log.decision("runner_chosen", head.id, {
    fingerprint,
    route: route.name,
    service: service.name,
    version,
    runner: choice.runner.id,
    software: choice.runner.softwareVersion,
    resumes: head.resumes,
    from_event: chosen.lastEventId,
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
    parts: partSuspects(routed).join(",") || undefined,
    rank: routed.rank,
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
    heard_ms: heardMs === undefined ? undefined : Math.round(heardMs),
    left_ms: Math.round(remainingMs),
  });
}

/**
 * Logs when the caller of a refused request is told to return, and why: `place` is
 * what became of its place (see `RequestMetrics.returnPlace`), `turn_ms` the
 * expected time until the request could be started, `ahead` the requests that wait
 * before it, `promised` the places of others.
 */
export function logReturnDelay(
  daemon: Daemon,
  routed: RoutedRequest,
  refused: {
    readonly fingerprint: string;
    readonly outlook: QueueOutlook;
    readonly outcome: PlaceOutcome;
    readonly delayMs: number;
    readonly turnMs: number | undefined;
    readonly remainingMs: number;
    readonly responseMs: number;
  },
): void {
  const { fingerprint, outlook, outcome, turnMs } = refused;
  const { drainPerS } = outlook;
  daemon.log.decision("return_delay_told", routed.head.id, {
    fingerprint,
    service: routed.service.name,
    rank: routed.rank,
    place: outcome,
    delay_ms: Math.round(refused.delayMs),
    turn_ms: turnMs === undefined ? undefined : Math.round(turnMs),
    ahead: outlook.ahead,
    promised: outlook.promised,
    drain_per_s: drainPerS === undefined ? undefined : Math.round(drainPerS),
    response_ms: Math.round(refused.responseMs),
    left_ms: Math.round(refused.remainingMs),
    runners_age_ms: Math.round(daemon.runnerListAgeMs()),
  });
}

/** A request with the place that it had when it was refused. */
interface ReturnedRequest {
  readonly fingerprint: string;
  readonly place: ReturnPlace;
}

/**
 * Logs that a request has the place of its first try, which arrived `age_ms` ago;
 * `late_ms` is the time since the caller was told to return.
 */
export function logReturn(
  daemon: Daemon,
  routed: RoutedRequest,
  returned: ReturnedRequest,
): void {
  const { arrivedAt, returnAt, expiresAt } = returned.place;
  const now = daemon.now();
  daemon.log.decision("request_returned", routed.head.id, {
    fingerprint: returned.fingerprint,
    service: routed.service.name,
    rank: routed.rank,
    age_ms: Math.round(now - arrivedAt),
    late_ms: Math.round(now - returnAt),
    left_ms: Math.round(expiresAt - now),
  });
}

/**
 * Logs that a request came back `early_ms` before its time and is queued as a new
 * one.
 */
export function logEarlyReturn(
  daemon: Daemon,
  routed: RoutedRequest,
  { fingerprint, place }: ReturnedRequest,
): void {
  daemon.log.decision("request_returned_early", routed.head.id, {
    fingerprint,
    service: routed.service.name,
    rank: routed.rank,
    early_ms: Math.round(place.returnAt - daemon.now()),
  });
}

/**
 * Logs that a request is queued as a new one, because a request at another daemon
 * used its place at the same time.
 */
export function logPlaceLost(
  daemon: Daemon,
  routed: RoutedRequest,
  { fingerprint, place }: ReturnedRequest,
): void {
  daemon.log.decision("return_place_lost", routed.head.id, {
    fingerprint,
    service: routed.service.name,
    rank: routed.rank,
    age_ms: Math.round(daemon.now() - place.arrivedAt),
  });
}

/**
 * Logs that a request is refused because its body does not fit beside the buffered
 * bytes: `body_bytes` is the size that the request states.
 */
export function logBodyRefused(
  daemon: Daemon,
  routed: RoutedRequest,
  { headers }: IncomingMessage,
): void {
  const { bodies, answers } = daemon.buffers.buffered;
  daemon.log.decision("body_refused", routed.head.id, {
    service: routed.service.name,
    rank: routed.rank,
    body_bytes: headers["content-length"],
    buffered_bodies: bodies,
    buffered_answers: answers,
  });
}

/**
 * Logs that an answer ended because buffered bytes exceeded a `limit`, that of the
 * caller or that of all callers together: `unread_bytes` waited for the caller, the
 * first of them for `held_ms`, and it read `read_bytes` in that time.
 */
export function logAnswerCut(
  daemon: Daemon,
  routed: RoutedRequest,
  cut: AnswerCut,
): void {
  daemon.log.decision("answer_cut", routed.head.id, {
    service: routed.service.name,
    rank: routed.rank,
    limit: cut.limit,
    unread_bytes: cut.bytes,
    read_bytes: cut.readBytes,
    held_ms: Math.round(cut.heldMs),
    buffered_bytes: cut.totalBytes,
  });
}

/**
 * Logs that a response ended with its connection, as nothing in it states its end, and
 * what a check of its runner found then.
 */
export function logUnframedEnd(
  daemon: Daemon,
  routed: RoutedRequest,
  end: {
    readonly attempt: Attempt;
    readonly status: number;
    readonly bytes: number | undefined;
    readonly events: number | undefined;
    readonly life: RunnerLife;
  },
): void {
  const { attempt, life, ...fields } = end;
  daemon.log.decision("unframed_response_ended", routed.head.id, {
    service: routed.service.name,
    runner: attempt.runner.id,
    path: attempt.path,
    peer: attempt.tunnelPeer,
    ...fields,
    check: life.sign,
    whole: life.alive,
  });
}
