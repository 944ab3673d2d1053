/**
 * The return of one request after a refusal, and its place if it is refused.
 *
 * @module
 */
import type { PlaceOutcome, ReturnOutcome } from "../process/metrics.ts";
import type { Return, ReturnPlace } from "../process/return_places.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Refusal } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import {
  logEarlyReturn,
  logPlaceLost,
  logReturn,
  logReturnDelay,
} from "./decision_log.ts";
import { spreadOf } from "./fingerprint.ts";
import type { Outcome } from "./outcome.ts";
import type { Progress } from "./progress.ts";
import { unavailableRefusal } from "./refusals.ts";
import { decideReturn } from "./retry_delay.ts";
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
  readonly #return: Return;
  #lossLogged = false;

  /** Takes the place of the request, if it has one and its time has come. */
  constructor(daemon: Daemon, routed: RoutedRequest, progress: Progress) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#progress = progress;
    const now = daemon.now();
    this.#return = daemon.places.take(progress.fingerprint, now);
    const { fingerprint } = progress;
    if (this.#return.kind === "returned") {
      const { place } = this.#return.taken;
      logReturn(daemon, routed, { fingerprint, place });
    } else if (this.#return.kind === "early") {
      const { place } = this.#return;
      logEarlyReturn(daemon, routed, { fingerprint, place });
      this.#count("early");
    }
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

  /**
   * Sort key of a request that has a place. It has missed its target, so it
   * starts on time as long as its caller can still get the whole response.
   */
  queueKey(place: Pick<ReturnPlace, "arrivedAt" | "expiresAt">): QueueKey {
    const { arrivedAt, expiresAt } = place;
    return {
      rank: this.#routed.rank,
      arrivedAt,
      startBy: arrivedAt + START_BY_SHARE * (expiresAt - arrivedAt),
    };
  }

  /** Milliseconds that the response takes once the request is started. */
  get responseMs(): number {
    const { service, route, rank } = this.#routed;
    return this.#daemon.drainRate(service.name)
      .meanMs(rank, this.#daemon.now()) ??
      (1 - START_BY_SHARE) * route.targetMs;
  }

  /** Returns what is known of the queue in which a request has a key. */
  outlook(queueKey: QueueKey): QueueOutlook {
    const { service, rank } = this.#routed;
    const { runners, loads, now } = this.#daemon.fleet(service.name);
    let inFlight = 0;
    let ahead = 0;
    for (const { id } of runners) {
      const load = loads.of(id);
      inFlight += load.total.inFlight;
      ahead += load.queue.workAhead(queueKey, now).requests;
    }
    return {
      drainPerS: this.#daemon.drainRate(service.name)
        .perSecond({ inFlight, rank }, now),
      ahead,
      promised: this.#daemon.places.promised(service.name, rank, now),
    };
  }

  /**
   * Refuses the request, which has not run, and keeps its place if it can be
   * served after its return.
   */
  refusal(code: string): Refusal {
    const now = this.#daemon.now();
    const { remainingMs, startedAt, expiresAt } = this.#progress;
    const { fingerprint } = this.#progress;
    const place = { arrivedAt: startedAt, expiresAt };
    const outlook = this.outlook(this.queueKey(place));
    const propagationMs = this.#daemon.propagationMs();
    const { responseMs } = this;
    const decision = decideReturn({
      ...outlook,
      remainingMs,
      responseMs,
      propagationMs,
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

  /** Counts the end of a request that came back. */
  recordEnd(outcome: Outcome): void {
    if (this.#return.kind === "returned") this.#count(outcome.kind);
  }

  #keep(
    { delayMs, keepsPlace }: ReturnDecision,
    now: number,
  ): { readonly outcome: PlaceOutcome; readonly delayMs: number } {
    const { places } = this.#daemon;
    const { fingerprint, startedAt, expiresAt } = this.#progress;
    if (this.#return.kind === "returned") return { outcome: "used", delayMs };
    const earlier = places.keptBefore(
      fingerprint,
      startedAt,
      this.#daemon.propagationMs(),
    );
    if (earlier !== undefined) {
      const leftMs = earlier.returnAt - now;
      return { outcome: "early", delayMs: leftMs > 0 ? leftMs : delayMs };
    }
    if (!keepsPlace) return { outcome: "late", delayMs };
    const kept = places.keep({
      fingerprint,
      service: this.#routed.service.name,
      rank: this.#routed.rank,
      arrivedAt: startedAt,
      returnAt: now + delayMs,
      expiresAt,
    }, now);
    return { outcome: kept ? "kept" : "identical", delayMs };
  }

  #count(outcome: ReturnOutcome): void {
    this.#daemon.metrics.requestReturned(this.#routed.service.name, outcome);
  }
}
