/**
 * Executes the attempts of a request at the runners selected for it.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { pause } from "../process/pause.ts";
import type { PlacedRequest } from "../process/runner_load.ts";
import type { Runner } from "../process/runner.ts";
import type { Path } from "../process/runner_paths.ts";
import { mayContinue, originAt } from "../process/stream_origin.ts";
import type { StreamOrigin } from "../process/stream_origin.ts";
import type { Service } from "../version/configuration.ts";
import { ResponseRelay } from "./response_relay.ts";
import type {
  AttemptContext,
  RelayResult,
  RunnerResponse,
} from "./response_relay.ts";
import type { Attempt, SendResult } from "./attempt.ts";
import { createAttempt } from "./create_attempt.ts";
import type { ResponseHead } from "./dialect.ts";
import type { Caller } from "./caller.ts";
import { AttemptCost } from "./cost_account.ts";
import type { Daemon } from "./daemon.ts";
import { requestsInFlight } from "./demand.ts";
import { logRunnerChosen } from "./decision_log.ts";
import type { Outcome } from "./outcome.ts";
import type { LocalOutcomes } from "./local_outcomes.ts";
import { workMsOf } from "./plain_admission.ts";
import { sharedPart } from "./placement.ts";
import type { RunnerChoice } from "./placement.ts";
import type { Progress } from "./progress.ts";
import { InactivityTimer } from "./inactivity_timer.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { streamKeys } from "./stream_resumption.ts";
import { requestTokens } from "./runner_memory.ts";

/**
 * Time without a first event, in multiples of the target latency, after which a
 * stream is retried on another runner.
 */
const FIRST_EVENT_TIMEOUT_TARGETS = 2;
/**
 * Time without a response, in multiples of the target latency, after which an
 * idempotent request is retried on another runner.
 */
const RESPONSE_TIMEOUT_TARGETS = 1;
/** Interval in ms at which an inactive attempt checks whether a retry is possible. */
const RETRY_CHECK_MS = 200;
const MIN_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;
/** Maximum ms for which a request waits for a check of the paths to runners. */
const MAX_CHECK_WAIT_MS = 100;

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "done"; readonly outcome: Outcome }
  /**
   * Another runner may be tried; `fallback` produces the outcome if none is.
   */
  | {
    readonly kind: "retry";
    readonly reason: string;
    readonly fallback: () => Outcome;
  }
  /** The request was cancelled before it was sent to the runner. */
  | { readonly kind: "cancelled"; readonly reason: string };

/** A request that is to be sent to the selected runner. */
interface OutgoingAttempt {
  readonly choice: RunnerChoice;
  readonly routed: RoutedRequest;
  readonly body: Buffer;
}

/** An attempt that was sent, up to the head of its response. */
interface SentAttempt {
  readonly attempt: Attempt;
  readonly result: SendResult;
  readonly inactivity: InactivityTimer;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  /** To be called when the request is no longer in flight. */
  readonly recordEnd: () => void;
}

/** Executes the attempts of one request, one after the other. */
export class AttemptExecutor {
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  readonly #progress: Progress;
  readonly #outcomes: LocalOutcomes;
  readonly #relay: ResponseRelay;
  /** Aborted when the request is to be sent to no runner any more. */
  readonly #cancellation = new AbortController();
  /** The attempt under way. */
  #attempt: Attempt | undefined;
  /** Records that this daemon no longer relays the stream. */
  #endStream: () => void = () => {};

  constructor(daemon: Daemon, caller: Caller, options: {
    readonly progress: Progress;
    readonly outcomes: LocalOutcomes;
  }) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.#progress = options.progress;
    this.#outcomes = options.outcomes;
    this.#relay = new ResponseRelay(daemon, caller, {
      cancelledLocally: () => options.progress.abandoned,
      streamBegan: (routed, runner) => this.#recordOrigin(routed, runner),
    });
  }

  /**
   * Number of events relayed; `undefined` when the response is not a stream.
   */
  get eventCount(): number | undefined {
    return this.#relay.eventCount;
  }

  /** Cancels the attempt under way, and any that would begin later. */
  cancel(reason: string): void {
    this.#cancellation.abort(reason);
    this.#attempt?.cancel(reason);
  }

  /** Sends the request to one runner and relays the response. */
  async execute(
    choice: RunnerChoice,
    routed: RoutedRequest,
    body: Buffer,
  ): Promise<AttemptResult> {
    const { head } = routed;
    const { runner } = choice;
    const { fingerprint, remainingMs } = this.#progress;
    const load = this.#daemon.loads.of(runner.id);
    const placed: PlacedRequest = {
      unreadTokens: choice.prefillTokens,
      memoryTokens: this.#memoryTokens(routed),
      tight: choice.tight,
    };
    const sentAt = this.#daemon.now();
    const requestsAhead = load.requestCount(sentAt);
    const tokensAhead = this.#tokensAhead(choice, routed);
    this.#progress.triedRunners.add(runner.id);
    logRunnerChosen(this.#daemon, routed, {
      choice,
      fingerprint,
      remainingMs,
      lastEventId: this.#relay.lastEventId ?? head.lastEventId,
    });
    load.place(placed, sentAt);
    const cost = new AttemptCost(this.#daemon, routed, choice.prefillTokens);
    const eventsBefore = this.#relay.eventCount ?? 0;
    let mayHaveRun = false;
    this.#recordPrompt(routed, { placed, sentAt });
    this.#daemon.prefixes.recordSent(runner.id, head.prompt, sentAt);
    const unwatch = this.#watchQuarantine();
    let sent: SentAttempt | undefined;
    try {
      sent = await this.#send({ choice, routed, body });
      if (sent === undefined) return this.#cancelled;
      const { attempt, result, inactivity } = sent;
      mayHaveRun = result.kind === "response" || result.kind === "broken";
      if (attempt.mayHaveReachedRunner) this.#progress.attempts += 1;
      const startedAt = result.kind === "response"
        ? this.#daemon.now()
        : sentAt;
      const handled = await this.#handle(routed, result, {
        load,
        placed,
        attempt,
        inactivity,
        sentAt,
        requestsAhead,
        tokensAhead,
        run: { suspects: this.#progress.suspects, startedAt },
        room: choice.room,
      });
      if (result.kind === "response") {
        this.#recordEnd(routed, { placed, sentAt });
      }
      return handled;
    } finally {
      sent?.recordEnd();
      sent?.inactivity.stop();
      unwatch();
      this.#attempt = undefined;
      load.release(placed);
      const { eventCount } = this.#relay;
      const events = eventCount && eventCount - eventsBefore;
      cost.settle({ mayHaveRun, events });
      this.#endStream();
      this.#endStream = () => {};
    }
  }

  /**
   * Sends the request to a runner: by way of a peer if the direct path is lost, or
   * turns out to be while nothing was sent.
   *
   * @returns undefined if the request was cancelled before that.
   */
  async #send(request: OutgoingAttempt): Promise<SentAttempt | undefined> {
    const { paths } = this.#daemon;
    const { runner } = request.choice;
    await this.#unlessCancelled(this.#checkIfSilent(request.routed));
    const first = await this.#sendOn(paths.pathTo(runner), request);
    const mayRepeat = first?.attempt.failedToConnect &&
      !this.#cancellation.signal.aborted;
    if (!mayRepeat) return first;
    if (first.attempt.path === "tunnel") {
      paths.recordTunnelFailure(runner);
      return await this.#sendOn("direct", request) ?? first;
    }
    const isLost = await this.#unlessCancelled(this.#isLost(first));
    if (!isLost) return first;
    return await this.#sendOn("tunnel", request) ?? first;
  }

  /** Waits for what is of no use any more once the request is cancelled. */
  async #unlessCancelled<T>(awaited: Promise<T>): Promise<T | undefined> {
    const { signal } = this.#cancellation;
    if (signal.aborted) return undefined;
    let end = () => {};
    const aborted = new Promise<undefined>((resolve) => {
      end = () => resolve(undefined);
    });
    signal.addEventListener("abort", end);
    try {
      return await Promise.race([awaited, aborted]);
    } finally {
      signal.removeEventListener("abort", end);
    }
  }

  get #cancelled(): AttemptResult {
    const { reason } = this.#cancellation.signal;
    return { kind: "cancelled", reason: String(reason) };
  }

  /**
   * Checks the paths if no runner sends anything. The request does not wait for long:
   * runners may only be slow.
   */
  async #checkIfSilent({ service }: RoutedRequest): Promise<void> {
    const awaited = () => {
      const { runners, loads } = this.#daemon.fleet(service.name);
      return runners.filter(({ id }) => loads.of(id).own.inFlight > 0);
    };
    const check = this.#daemon.paths.checkIfSilent(awaited);
    if (check === undefined) return;
    await Promise.race([check, pause(MAX_CHECK_WAIT_MS)]);
  }

  /** Whether the path is to blame for a connection that could not be opened. */
  async #isLost({ attempt, sentAt }: SentAttempt): Promise<boolean> {
    const check = this.#daemon.paths.check(attempt.runner);
    const { lastResponseAt } = this.#daemon.reachability;
    // Others respond, so that this runner is probably down. Peers would tell so only
    // after a time-out, too.
    if (attempt.connectTimedOut && lastResponseAt >= sentAt) return false;
    return await check;
  }

  /** @returns undefined, and sends nothing, once the request is cancelled. */
  async #sendOn(
    path: Path,
    { choice, routed, body }: OutgoingAttempt,
  ): Promise<SentAttempt | undefined> {
    if (this.#cancellation.signal.aborted) return undefined;
    const { reachability } = this.#daemon;
    const sentAt = this.#daemon.now();
    const attempt = createAttempt(this.#daemon, routed, {
      request: this.#caller.request,
      choice,
      path,
      body,
      remainingMs: this.#progress.remainingMs,
      lastEventId: this.#relay.lastEventId,
    });
    this.#attempt = attempt;
    const inactivity = this.#watchInactivity(routed, attempt);
    const recordEnd = path === "direct"
      ? reachability.recordSent(sentAt)
      : () => {};
    let result: SendResult | undefined;
    try {
      result = await attempt.send();
      return { attempt, result, inactivity, sentAt, recordEnd };
    } finally {
      if (result?.kind !== "response") {
        recordEnd();
        inactivity.stop();
      }
    }
  }

  #memoryTokens({ head, service }: RoutedRequest): number {
    const { engine, name } = service;
    if (engine === undefined || !this.#daemon.scheduling.isAdaptive(name)) {
      return head.promptTokens + head.maxOutputTokens;
    }
    return requestTokens(head, engine);
  }

  #recordPrompt(
    { service, head: { prompt } }: RoutedRequest,
    { placed, sentAt }: {
      readonly placed: PlacedRequest;
      readonly sentAt: number;
    },
  ): void {
    if (!this.#daemon.scheduling.isAdaptive(service.name)) return;
    const part = sharedPart(prompt);
    if (service.engine === undefined || part === undefined) return;
    const { demand } = this.#daemon.fleet(service.name);
    demand?.prompts.record(part.id, placed.unreadTokens, sentAt);
  }

  #recordEnd(
    { service, rank }: RoutedRequest,
    { placed, sentAt }: {
      readonly placed: PlacedRequest;
      readonly sentAt: number;
    },
  ): void {
    if (!this.#daemon.scheduling.isAdaptive(service.name)) return;
    const fleet = this.#daemon.fleet(service.name);
    const { demand, now } = fleet;
    this.#daemon.drainRate(service.name).recordEnd(
      { rank, durationMs: now - sentAt, inFlight: requestsInFlight(fleet) },
      now,
    );
    if (!placed.tight) return;
    demand?.reserve.recordEnd(
      { durationMs: now - sentAt, prefillTokens: placed.unreadTokens },
      now,
    );
  }

  /**
   * Prompt tokens that the runner prefills before the first event of a request
   * that is about to be sent. Undefined where the event may be delayed by other
   * work: a fetch of the cache, a resumed stream or a wait for a slot.
   */
  #tokensAhead(
    { runner, prefillTokens, fetchFrom }: RunnerChoice,
    { service: { engine } }: RoutedRequest,
  ): number | undefined {
    const { inFlight, unreadTokens } = this.#daemon.loads.of(runner.id).total;
    const resumed = this.#relay.lastEventId !== undefined;
    if (engine === undefined || fetchFrom !== undefined || resumed) {
      return undefined;
    }
    return inFlight < engine.slots ? unreadTokens + prefillTokens : undefined;
  }

  /**
   * Withdraws the request once it is quarantined, as it may be already: runners were
   * asked since that was checked.
   */
  #watchQuarantine(): () => void {
    const { crashes } = this.#daemon;
    const { suspects } = this.#progress;
    const quarantine = crashes.quarantineOf(suspects, this.#daemon.now());
    if (quarantine !== undefined) this.#withdraw();
    return crashes.watch(suspects, () => this.#withdraw());
  }

  /**
   * Withdraws the request from a runner that has not begun to respond, because
   * the request would crash it.
   */
  #withdraw(): void {
    if (this.#attempt?.responseStarted) return;
    this.#progress.withdrawn = true;
    this.cancel("quarantined");
  }

  /**
   * Cancels the attempt if the runner is silent for too long and another one may
   * continue: callers disconnect from a silent stream after two seconds or more.
   */
  #watchInactivity(
    { route, service }: RoutedRequest,
    attempt: Attempt,
  ): InactivityTimer {
    const isLast = route.maxAttempts <= this.#progress.attempts + 1;
    if (route.repetition === "never" || isLast) {
      return new InactivityTimer(() => {});
    }
    const inactivity: InactivityTimer = new InactivityTimer(() => {
      const mayRetry = this.#hasAlternative(service) &&
        this.#reserveRetry(service, attempt);
      if (!mayRetry) return inactivity.restart(RETRY_CHECK_MS);
      attempt.cancel("runner inactive");
    });
    const targets = route.streaming
      ? FIRST_EVENT_TIMEOUT_TARGETS
      : RESPONSE_TIMEOUT_TARGETS;
    inactivity.restart(targets * route.targetMs);
    return inactivity;
  }

  /** Records where the stream began, for this request and for later ones. */
  #recordOrigin(routed: RoutedRequest, runner: Runner): void {
    if (this.#progress.origin !== undefined) {
      return this.#publishOrigin(routed, this.#progress.origin);
    }
    const origin = originAt(runner);
    const isListed = this.#daemon.isListedStart(runner);
    if (isListed === true) {
      this.#progress.origin = origin;
      return this.#publishOrigin(routed, origin);
    }
    // Unknown until the runner has answered.
    this.#progress.origin = { ...origin, software: undefined };
    let ended = false;
    this.#endStream = () => void (ended = true);
    void isListed.then((confirmed) => {
      if (!confirmed) return;
      const hasEnded = ended;
      this.#progress.origin = origin;
      this.#publishOrigin(routed, origin);
      if (hasEnded) this.#endStream();
    });
  }

  #publishOrigin(routed: RoutedRequest, origin: StreamOrigin): void {
    if (routed.route.repetition !== "resumable") return;
    this.#endStream();
    this.#endStream = this.#daemon.origins.begin(
      streamKeys(routed, this.#progress.fingerprint),
      origin,
    );
  }

  /** Takes the retry that follows when the attempt is cancelled. */
  #reserveRetry({ name }: Service, attempt: Attempt): boolean {
    const { attempts } = this.#progress;
    if (attempts === 0 && !attempt.mayHaveReachedRunner) return true;
    this.#progress.retryReserved = this.#daemon.retryBudget(name).take(
      this.#daemon.now(),
    );
    return this.#progress.retryReserved;
  }

  /** Whether a runner that was not tried may take or continue the request. */
  #hasAlternative({ name }: Service): boolean {
    const { origin, triedRunners } = this.#progress;
    return this.#daemon.fleet(name).runners.some((runner) =>
      !triedRunners.has(runner.id) &&
      (origin === undefined || mayContinue(origin, runner))
    );
  }

  async #handle(
    routed: RoutedRequest,
    result: SendResult,
    context: AttemptContext,
  ): Promise<AttemptResult> {
    const { load } = context;
    const now = this.#daemon.now();
    if (result.kind === "response" || result.kind === "not-executed") {
      load.recordActivity(now);
      this.#recordResponse(context);
      this.#recordLimit(result.head, context);
      // Another runner has the address of one that misdirects.
      if (!result.head.misdirected) {
        this.#daemon.recordStatements(context.attempt.runner, result.head);
      }
    }
    switch (result.kind) {
      case "unsent":
        if (!this.#progress.abandoned) {
          load.recordFailure(now);
          this.#recordUnreached(routed, result, context);
        }
        return retry(
          result.reason,
          () => this.#outcomes.refusal("runner_unreachable"),
        );
      case "broken":
        this.#checkUnanswered(context);
        if (!this.#progress.abandoned) {
          this.#recordUnreached(routed, result, context);
        }
        return this.#handleBrokenConnection(result.reason, context);
      case "not-executed":
        this.#recordLoad(result.head, context);
        if (result.head.misdirected) load.recordFailure(now);
        else this.#recordRefusal(routed, result.head, context);
        if (!result.head.misdirected && !result.head.draining) {
          this.#daemon.brittle.recordRejection(context.attempt.runner.id, now);
        }
        return retry(
          "refused by runner",
          () => this.#outcomes.runnersFull(),
        );
      case "response":
        this.#progress.mayHaveRun = true;
        this.#recordLoad(result.head, context);
        this.#recordAccepted(routed, result, context);
        return this.#finish(
          routed,
          await this.#relay.relay(routed, result, context),
        );
    }
  }

  #checkUnanswered({ attempt, sentAt }: AttemptContext): void {
    const { runner, path, tunnelPeer } = attempt;
    if (path === "direct") this.#daemon.paths.checkUnanswered(runner, sentAt);
    if (tunnelPeer === undefined) return;
    this.#daemon.tunnels.recordUnanswered(tunnelPeer, sentAt);
  }

  #recordResponse({ attempt: { runner, path } }: AttemptContext): void {
    if (path === "tunnel") return;
    this.#daemon.reachability.recordResponse(runner.id, this.#daemon.now());
  }

  #recordUnreached(
    { service }: RoutedRequest,
    { kind, reason }: Extract<SendResult, { readonly reason: string }>,
    { attempt: { runner, path } }: AttemptContext,
  ): void {
    const now = this.#daemon.now();
    this.#daemon.metrics.runnerFailed(service.name, kind);
    if (path === "tunnel") return;
    this.#daemon.reachability.recordFailure(runner.id, { reason, now });
  }

  /** Records the load that a response reports, and how fast the host is. */
  #recordLoad(
    { load: reported, misdirected }: ResponseHead,
    { load, attempt: { runner } }: AttemptContext,
  ): void {
    if (reported === undefined) return;
    const now = this.#daemon.now();
    load.recordReport(reported, now);
    const { workHundredths } = reported;
    if (workHundredths === undefined || misdirected) return;
    this.#daemon.paces.recordStated(runner, workHundredths, now);
  }

  /**
   * Records the rate limit that a response states. Only a response with the
   * runner's own seal shows that the runner no longer states one.
   */
  #recordLimit(head: ResponseHead, { attempt, sentAt }: AttemptContext): void {
    const statesNothing = head.limit === undefined && !head.sealed;
    if (statesNothing || head.misdirected) return;
    const times = { sentAt, now: this.#daemon.now() };
    this.#daemon.limits.recordStated(attempt.runner.id, head.limit, times);
  }

  /**
   * Records that a queued request was refused, unless the runner states that it
   * has free slots: it refused for another reason.
   */
  #recordRefusal(
    { service }: RoutedRequest,
    { load, draining, pauseMs }: ResponseHead,
    { attempt, room }: AttemptContext,
  ): void {
    if (room === undefined || draining) return;
    const full = load === undefined
      ? pauseMs === undefined
      : load.running + load.waiting >= load.slots;
    if (!full) return;
    this.#daemon.plainCapacity(service.name).recordRefusal(attempt.runner.id, {
      load,
      slots: attempt.runner.slots,
      propagationMs: this.#daemon.propagationMs(),
      now: this.#daemon.now(),
    });
  }

  /** Records that a queued request was run, and how long that took. */
  #recordAccepted(
    { service, route }: RoutedRequest,
    { status, head }: RunnerResponse,
    { attempt, load, room, sentAt }: AttemptContext,
  ): void {
    if (room === undefined) return;
    const capacity = this.#daemon.plainCapacity(service.name);
    const { id, slots } = attempt.runner;
    const stated = head.load;
    const idle = stated !== undefined && load.queue.hasAny &&
      stated.waiting === 0 && stated.running < stated.slots;
    capacity.recordAccepted(id, { slots, idle });
    // A runner that fails often does so at once.
    if (route.streaming || status >= MIN_SERVER_ERROR_STATUS) return;
    const now = this.#daemon.now();
    const ms = workMsOf(room, now - sentAt);
    capacity.times.record(id, { ms, now });
  }

  /** Handles a connection that broke before the head of a response. */
  #handleBrokenConnection(
    reason: string,
    { attempt, load, run }: AttemptContext,
  ): AttemptResult {
    this.#progress.mayHaveRun = true;
    // The connection may have been lost without notice, and the runner's idle
    // connections with it.
    if (!this.#caller.disconnected) {
      this.#daemon.connections.dropIdle(attempt.runner);
    }
    if (!this.#progress.abandoned && !attempt.lostByPeer) {
      load.recordFailure(this.#daemon.now());
      this.#daemon.reportBrokenConnection(attempt.runner, run);
    }
    return this.#retryOrTimeOut(reason);
  }

  #finish(routed: RoutedRequest, relayed: RelayResult): AttemptResult {
    if (relayed.kind === "broken") return this.#retryOrTimeOut(relayed.reason);
    if (relayed.kind === "no-room") {
      return { kind: "done", outcome: this.#outcomes.answerCut() };
    }
    const { suspects, abandoned } = this.#progress;
    const outcome = relayed.kind === "failed" ? relayed.outcome : relayed;
    const { status } = outcome;
    // A runner that fails a request has not shown that the prompt does it no harm.
    const complete = status < MIN_ERROR_STATUS
      ? suspects
      : suspects.slice(0, 1);
    this.#daemon.crashes.recordResponse(complete, this.#daemon.now());
    const mayRetry = relayed.kind === "failed" && !abandoned &&
      routed.route.repetition !== "never";
    if (mayRetry) return retry(`status ${status}`, () => outcome);
    return { kind: "done", outcome };
  }

  /**
   * Ends an attempt that may have run: with a time-out, or with another attempt
   * where the route allows it.
   */
  #retryOrTimeOut(reason: string): AttemptResult {
    if (this.#progress.expired) {
      return { kind: "done", outcome: this.#outcomes.expiry() };
    }
    return retry(reason, () => this.#outcomes.failure(reason));
  }
}

function retry(reason: string, fallback: () => Outcome): AttemptResult {
  return { kind: "retry", reason, fallback };
}
