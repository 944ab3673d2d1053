/**
 * What this daemon has observed of the capacity of a plain service's runners.
 *
 * @module
 */
import { Decay } from "./decay.ts";
import { ResponseTimes } from "./response_times.ts";
import type { ReportedLoad } from "./runner_load.ts";

/** Half-life in ms of the completions from which the rate is estimated. */
const RATE_HALF_LIFE_MS = 150;
/**
 * Half-life in ms of the arrivals at this daemon: 9 a second in a flood at 30
 * daemons, and bursts of one kind of request last 3 s and more.
 */
const ARRIVAL_HALF_LIFE_MS = 700;
const ARRIVAL_SPAN_MS = ARRIVAL_HALF_LIFE_MS / Math.LN2;
/** Time in ms that the decayed completions stand for: half-life / ln 2. */
const RATE_SPAN_MS = RATE_HALF_LIFE_MS / Math.LN2;
/**
 * Requests beyond its slots that a runner gets before anything is known of it.
 * In floods at 30 daemons, runners of two slots refused 18% of the offers with
 * 1, and 14% with 0.75, at the same number of served requests; with 0.5, 2.5%
 * fewer were served.
 */
const INITIAL_SLACK = 0.75;
/** Maximum slack, as a share of the slots; at least one request. */
const MAX_SLACK_SHARE = 0.5;
/** Slack that a refusal takes. */
const SLACK_LOSS = 0.5;
/**
 * Slack that a response gives back. At most one offer in 100 is refused for a
 * slack that a runner does not take.
 */
const SLACK_GAIN = 0.005;
/**
 * The same if the runner states that it has a free slot and none waiting, while
 * requests wait for it here or at other daemons.
 */
const IDLE_SLACK_GAIN = 0.05;

/** State of one runner. */
class RunnerCapacity {
  slack = INITIAL_SLACK;
  loweredAt = -Infinity;
  /** Completed requests at the last sample. */
  #completed = 0;
  /** Decayed sum of completions. */
  #completions = 0;
  #sampledAt: number | undefined;
  readonly #decay = new Decay(RATE_HALF_LIFE_MS);

  /** Completions per ms at the last sample. */
  get rate(): number {
    return this.#completions / RATE_SPAN_MS;
  }

  /**
   * Returns the completions per ms. Those since the last sample count as spread
   * over the time between, since the rate is only sampled while it is needed.
   */
  sample(completed: number, now: number): number {
    const spanMs = now - (this.#sampledAt ?? now);
    if (this.#sampledAt === undefined || spanMs > 0) {
      const before = this.#sampledAt === undefined
        ? completed
        : this.#completed;
      const factor = this.#decay.remaining(now);
      // The count falls when the link to a neighbour is lost.
      const added = Math.max(0, completed - before);
      const spread = spanMs > 0 ? RATE_SPAN_MS * (1 - factor) / spanMs : 1;
      this.#completions = this.#completions * factor + added * spread;
      this.#completed = completed;
      this.#sampledAt = now;
    }
    return this.rate;
  }
}

/**
 * Observes the runners of one plain service: how long they work on a request,
 * at which rate they complete requests, and how many they take beyond their
 * slots.
 */
export class PlainCapacity {
  readonly times = new ResponseTimes();
  /** Decayed numbers of arrivals by rank. */
  #arrivals: number[] = [];
  readonly #arrivalDecay = new Decay(ARRIVAL_HALF_LIFE_MS);
  readonly #runners = new Map<string, RunnerCapacity>();

  /** Records a request that arrives at this daemon. */
  recordArrival(rank: number, now: number): void {
    this.#decayArrivals(now);
    this.#arrivals[rank] = (this.#arrivals[rank] ?? 0) + 1;
  }

  /**
   * Requests of a rank and of more urgent ones that arrive at this daemon in a
   * millisecond.
   */
  arrivalsPerMs(rank: number, now: number): number {
    this.#decayArrivals(now);
    const count = this.#arrivals.slice(0, rank + 1)
      .reduce((sum, arrivals) => sum + (arrivals ?? 0), 0);
    return count / ARRIVAL_SPAN_MS;
  }

  /**
   * Requests that a runner completes in a span of time, by its recent rate.
   *
   * @param sample number of requests that the runner has completed for all
   * daemons. Failures do not count, since a runner that fails often does so at
   * once.
   */
  completionsWithin(
    runner: string,
    spanMs: number,
    sample: { readonly completed: number; readonly now: number },
  ): number {
    return spanMs * this.#of(runner).sample(sample.completed, sample.now);
  }

  /**
   * Milliseconds that a runner works on a request; undefined if unknown. The
   * time of a response includes a wait for a slot where the runner is full;
   * there, its rate of completions shows how long its slots work on each.
   */
  responseMs(runner: string, slots: number, now: number): number | undefined {
    const observed = this.times.of(runner, now);
    if (observed === undefined) return undefined;
    const rate = this.#runners.get(runner)?.rate ?? 0;
    return Math.min(observed, slots / rate);
  }

  /** Requests that a runner takes beyond its slots. */
  slack(runner: string): number {
    return this.#runners.get(runner)?.slack ?? INITIAL_SLACK;
  }

  /**
   * Records that a runner took a request, which slowly raises its slack.
   *
   * @param accepted `idle`: whether a slot became idle though requests wait.
   */
  recordAccepted(
    runner: string,
    accepted: { readonly slots: number; readonly idle: boolean },
  ): void {
    const { slots, idle } = accepted;
    const state = this.#of(runner);
    state.slack = Math.min(
      Math.max(1, MAX_SLACK_SHARE * slots),
      state.slack + (idle ? IDLE_SLACK_GAIN : SLACK_GAIN),
    );
  }

  /**
   * Records that a runner refused a request because it was full. The load that
   * it states is a level that it does not take. The refusals within one
   * propagation time have one cause, and count once.
   */
  recordRefusal(runner: string, refusal: {
    readonly load: ReportedLoad | undefined;
    readonly slots: number;
    readonly propagationMs: number;
    readonly now: number;
  }): void {
    const { load, slots, propagationMs, now } = refusal;
    const state = this.#of(runner);
    const stated = load === undefined
      ? Infinity
      : load.running + load.waiting - slots;
    const lowers = now - state.loweredAt > propagationMs;
    if (lowers) state.loweredAt = now;
    const lowered = Math.min(state.slack, stated) - (lowers ? SLACK_LOSS : 0);
    state.slack = Math.max(1 - slots, Math.min(state.slack, lowered));
  }

  /** Deletes runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    this.times.retain(ids);
    for (const id of this.#runners.keys()) {
      if (!ids.has(id)) this.#runners.delete(id);
    }
  }

  #decayArrivals(now: number): void {
    const factor = this.#arrivalDecay.remaining(now);
    if (factor < 1) {
      this.#arrivals = this.#arrivals.map((count) => factor * count);
    }
  }

  #of(runner: string): RunnerCapacity {
    const known = this.#runners.get(runner);
    if (known !== undefined) return known;
    const created = new RunnerCapacity();
    this.#runners.set(runner, created);
    return created;
  }
}
