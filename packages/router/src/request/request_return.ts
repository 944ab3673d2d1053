/**
 * The return of one request after a refusal, and its place if it is refused.
 *
 * @module
 */
import type { PlaceOutcome, ReturnOutcome } from "../process/metrics.ts";
import type {
  PromiseCounts,
  Return,
  ReturnPlace,
} from "../process/return_places.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Refusal } from "./refusal.ts";
import type { Daemon } from "./daemon.ts";
import {
  logEarlyReturn,
  logPlaceLost,
  logReturn,
  logReturnDelay,
} from "./decision_log.ts";
import { spreadOf } from "./fingerprint.ts";
import { requestsInFlight } from "./demand.ts";
import type { Outcome } from "./outcome.ts";
import type { Progress } from "./progress.ts";
import { unavailableRefusal } from "./refusals.ts";
import { decideReturn, latestStartMs } from "./retry_delay.ts";
import type { QueueOutlook, ReturnDecision } from "./retry_delay.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Share of a request's time after which it can no longer start on time. The rest
 * is for the runner to prefill its prompt alongside the prompts that it already
 * has.
 */
export const START_BY_SHARE = 0.7;

/**
 * Finds the place of a request that was refused before, at any daemon, and keeps
 * its place if it is refused now. Exists only for services that are scheduled
 * adaptively.
 */
export class RequestReturn {
  readonly #daemon: Daemon;
  readonly #routed: RoutedRequest;
  readonly #progress: Progress;
  #return: Return = { kind: "new" };
  #lossLogged = false;
  /** The place of a first try, if this request came before its time. */
  #earlier: ReturnPlace | undefined;

  /** Takes the place of the request, if it has one and its time has come. */
  constructor(daemon: Daemon, routed: RoutedRequest, progress: Progress) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#progress = progress;
    this.#takePlace();
  }

  /**
   * Times of the request's key among those that wait. They change when its place
   * turns out to be used elsewhere, too, or arrives from another daemon after it.
   *
   * @param startByMs milliseconds after its arrival in which a request without a
   * place can start on time.
   */
  times(startByMs: number): Pick<QueueKey, "arrivedAt" | "startBy"> {
    this.#takePlace();
    const { place } = this;
    if (place !== undefined) return place;
    const { startedAt } = this.#progress;
    const firstArrivedAt = this.#findEarlier()?.arrivedAt ?? startedAt;
    return { arrivedAt: startedAt, startBy: firstArrivedAt + startByMs };
  }

  /**
   * The place that the request has; undefined for a new request, and once a
   * request at another daemon turns out to have used the place, too.
   */
  get place(): ReturnPlace | undefined {
    if (this.#return.kind !== "returned") return undefined;
    const { place, lost } = this.#return.taken;
    if (!lost) return place;
    if (!this.#lossLogged) {
      this.#lossLogged = true;
      const { fingerprint } = this.#progress;
      logPlaceLost(this.#daemon, this.#routed, { fingerprint, place });
    }
    return undefined;
  }

  /** Milliseconds that the response takes once the request is started. */
  get responseMs(): number {
    const { service, route, rank } = this.#routed;
    return this.#daemon.drainRate(service.name)
      .meanMs(rank, this.#daemon.now()) ??
      (1 - START_BY_SHARE) * Math.min(route.targetMs, route.timeoutMs);
  }

  /** Returns what is known of the queue in which a request has a key. */
  outlook(queueKey: QueueKey): QueueOutlook {
    const { service, rank } = this.#routed;
    const fleet = this.#daemon.fleet(service.name);
    const { runners, loads, now } = fleet;
    let ahead = 0;
    for (const { id } of runners) {
      ahead += loads.of(id).queue.workAhead(queueKey, now).requests;
    }
    return {
      drainPerS: this.#daemon.drainRate(service.name)
        .perSecond({ inFlight: requestsInFlight(fleet), rank }, now),
      ahead,
      promised: this.#promises(now).expected,
    };
  }

  /**
   * Refuses the request, which has not run, and keeps its place if it can be
   * served after its return.
   */
  refusal(code: string): Refusal {
    const now = this.#daemon.now();
    const { remainingMs, fingerprint } = this.#progress;
    const outlook = this.outlook(this.#promisedKey);
    const propagationMs = this.#daemon.propagationMs();
    const { responseMs } = this;
    const decision = decideReturn({
      ...outlook,
      remainingMs,
      responseMs,
      propagationMs,
      given:
        this.#promises(now - latestStartMs({ remainingMs, responseMs })).given,
      unseen: this.#daemon.places.learnedSince(now - propagationMs),
      spread: spreadOf(fingerprint),
    });
    const { outcome, delayMs } = this.#keep(decision, now);
    this.#daemon.metrics.returnPlace(this.#routed.service.name, outcome);
    logReturnDelay(this.#daemon, this.#routed, {
      fingerprint,
      outlook,
      outcome,
      delayMs,
      turnMs: decision.turnMs,
      remainingMs,
      responseMs,
    });
    return { ...unavailableRefusal(code, 0), retryAfterMs: delayMs };
  }

  /** Takes a place whose time had come when the request arrived. */
  #takePlace(): void {
    if (this.#return.kind === "returned") return;
    const { fingerprint, startedAt } = this.#progress;
    this.#return = this.#daemon.places.take(fingerprint, startedAt);
    if (this.#return.kind !== "returned") return;
    const { place } = this.#return.taken;
    logReturn(this.#daemon, this.#routed, { fingerprint, place });
  }

  #promises(since: number): PromiseCounts {
    const { service: { name: service }, rank } = this.#routed;
    const now = this.#daemon.now();
    return this.#daemon.places.promises({ service, rank }, { now, since });
  }

  /** Counts the end of a request that came back. */
  recordEnd(outcome: Outcome): void {
    if (this.#return.kind !== "returned") return;
    this.#count(outcome.kind === "streamed" ? "answered" : outcome.kind);
  }

  /**
   * Sort key of the request if its start is promised. It has missed its target, so
   * it counts as on time as long as its caller can get the whole response.
   */
  get #promisedKey(): QueueKey {
    const { startedAt, expiresAt } = this.#progress;
    return {
      rank: this.#routed.rank,
      arrivedAt: startedAt,
      startBy: startedAt + START_BY_SHARE * (expiresAt - startedAt),
    };
  }

  #keep(
    { delayMs, place }: ReturnDecision,
    now: number,
  ): { readonly outcome: PlaceOutcome; readonly delayMs: number } {
    const { places } = this.#daemon;
    const { fingerprint, expiresAt } = this.#progress;
    if (this.#return.kind === "returned") return { outcome: "used", delayMs };
    const earlier = this.#findEarlier();
    if (earlier !== undefined) {
      const leftMs = earlier.returnAt - now;
      return { outcome: "early", delayMs: leftMs > 0 ? leftMs : delayMs };
    }
    if (place === "late") return { outcome: place, delayMs };
    const { rank, arrivedAt, startBy } = this.#promisedKey;
    const { service, route } = this.#routed;
    // A route without a target has an infinite one.
    const onTime = Math.min(
      startBy,
      arrivedAt + START_BY_SHARE * route.targetMs,
    );
    const kept = places.keep({
      fingerprint,
      service: service.name,
      rank,
      arrivedAt,
      returnAt: now + delayMs,
      startBy: place === "promised" ? startBy : onTime,
      expiresAt,
    }, now);
    return { outcome: kept ? place : "identical", delayMs };
  }

  /**
   * Returns the place of the first try if the caller came back before its time. The
   * place may arrive from another daemon only after the request. A request without
   * a body may as well come from another caller, and counts as new.
   */
  #findEarlier(): ReturnPlace | undefined {
    const { fingerprint, startedAt, hasBody } = this.#progress;
    if (this.#earlier !== undefined || !hasBody) return this.#earlier;
    if (this.#return.kind === "returned") return undefined;
    const place = this.#daemon.places.keptBefore(
      fingerprint,
      startedAt,
      this.#daemon.propagationMs(),
    );
    if (place === undefined) return undefined;
    this.#earlier = place;
    logEarlyReturn(this.#daemon, this.#routed, { fingerprint, place });
    this.#count("early");
    return place;
  }

  #count(outcome: ReturnOutcome): void {
    this.#daemon.metrics.requestReturned(this.#routed.service.name, outcome);
  }
}
