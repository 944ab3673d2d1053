/**
 * What this daemon knows about the load of each runner.
 *
 * @module
 */
/** Load of a runner as it told with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A request of this daemon that is at a runner. */
export interface Placed {
  /** Prompt tokens that the runner has to read, as estimated. */
  readonly unreadTokens: number;
  /** Longest pause between its events that is on time, in ms. */
  readonly gapTargetMs: number | undefined;
}

/** Failures in a row after which a runner gets no work for a while. */
const FAILURES_TO_EJECT = 2;
/** First span without work, in ms; doubled at each further failure. */
const FIRST_EJECTION_MS = 500;
/** Longest span, so that a runner that recovers is found within it. */
const LONGEST_EJECTION_MS = 4_000;
/** Age in ms at which a reported load says nothing more. */
const REPORT_LIFE_MS = 1_000;

/** One runner as this daemon sees it. */
export class RunnerLoad {
  readonly #placed = new Set<Placed>();
  readonly #starting = new Set<Placed>();
  #unreadTokens = 0;
  #failures = 0;
  #ejectedUntil = 0;
  #report: ReportedLoad | undefined;
  #reportedAt = 0;

  /** Requests of this daemon that are at the runner. */
  get inFlight(): number {
    return this.#placed.size;
  }

  /** Prompt tokens of this daemon's requests that have no first event yet. */
  get unreadTokens(): number {
    return this.#unreadTokens;
  }

  /** Failures since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** Counts a request that is about to be sent. */
  place(placed: Placed): void {
    this.#placed.add(placed);
    this.#starting.add(placed);
    this.#unreadTokens += placed.unreadTokens;
  }

  /** Its prompt has been read: the first event came. */
  started(placed: Placed): void {
    if (this.#starting.delete(placed)) {
      this.#unreadTokens -= placed.unreadTokens;
    }
  }

  /** It is no longer at the runner. */
  release(placed: Placed): void {
    this.started(placed);
    this.#placed.delete(placed);
  }

  /** Takes the load that the runner told with an answer. */
  reported(load: ReportedLoad, now: number): void {
    this.#report = load;
    this.#reportedAt = now;
  }

  /** Requests at the runner, of all daemons, as far as known. */
  requests(now: number): number {
    const report = this.#freshReport(now);
    if (report === undefined) return this.inFlight;
    return Math.max(this.inFlight, report.running + report.waiting);
  }

  /** Requests that wait at the runner for a slot, as far as known. */
  waiting(now: number): number {
    return this.#freshReport(now)?.waiting ?? 0;
  }

  /** An answer came that shows that the runner works. */
  succeeded(): void {
    this.#failures = 0;
    this.#ejectedUntil = 0;
  }

  /**
   * The runner did not answer or broke off. After some in a row it gets no work
   * for a while: a dark runner would otherwise hold every request of its share
   * until a timeout. The span is short, so a false alarm costs little.
   */
  failed(now: number): void {
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_EJECT) return;
    const doublings = this.#failures - FAILURES_TO_EJECT;
    const span = Math.min(
      LONGEST_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** doublings,
    );
    this.#ejectedUntil = now + span;
  }

  /** Whether the runner is left out for now. */
  ejected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  #freshReport(now: number): ReportedLoad | undefined {
    return now - this.#reportedAt < REPORT_LIFE_MS ? this.#report : undefined;
  }
}

/** The loads of all runners, by their ids. */
export class RunnerLoads {
  readonly #loads = new Map<string, RunnerLoad>();

  /** The load of a runner; an unknown one starts empty. */
  of(id: string): RunnerLoad {
    const known = this.#loads.get(id);
    if (known !== undefined) return known;
    const load = new RunnerLoad();
    this.#loads.set(id, load);
    return load;
  }

  /** Forgets runners that are not listed and have nothing in flight. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, load] of this.#loads) {
      if (!ids.has(id) && load.inFlight === 0) this.#loads.delete(id);
    }
  }
}
