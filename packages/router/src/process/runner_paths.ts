/**
 * The direct paths from this daemon to the runners, and which of them are lost.
 *
 * @module
 */
import { inBackground } from "./background.ts";
import type { EventLog } from "./event_log.ts";
import { pause } from "./pause.ts";
import type { Runner } from "./runner.ts";
import type { RunnerReachability } from "./runner_reachability.ts";

/** Minimum ms between two checks of a path by way of peers. */
const CHECK_INTERVAL_MS = 500;
/**
 * Time in ms without data from any runner, while requests are in flight, after which
 * paths are checked. Streams send an event every 30 to 250 ms.
 */
const SILENCE_MS = 600;
/**
 * Paths that are lost, without a response on any direct connection since, from which
 * all paths are presumed lost.
 */
const LOST_PATHS_TO_ISOLATE = 2;
/** Mean ms between two probes of lost paths. */
const PROBE_INTERVAL_MS = 1_000;
/** Ms between two probes once one path has come back. */
const NEXT_PROBE_MS = 50;

/** How a request reaches its runner. */
export type Path = "direct" | "tunnel";

/** Whether a peer reaches a runner. */
export type PeerVerdict =
  /** The runner accepts its connections. */
  | "reached"
  /** The runner's address refuses its connections. */
  | "refused"
  /** There is no response, though the peer reaches other runners. */
  | "unreached"
  /** The peer cannot tell: it does not know the runner, or reaches none. */
  | "unknown";

/** What the paths use of the daemon. */
export interface PathContext {
  readonly reachability: RunnerReachability;
  readonly log: EventLog;
  /** Asks peers whether they reach a runner, or did so within some time. */
  askPeers(runner: Runner, withinMs: number): Promise<PeerVerdict>;
  /** Returns whether a runner responds to a direct probe. */
  respondsDirectly(runner: Runner): Promise<boolean>;
  /** Called when a direct path is lost. */
  pathLost(runner: Runner): void;
  /** Called when a lost path is usable again. */
  pathRegained(runner: Runner): void;
  now(): number;
  /** In [0, 1). */
  random(): number;
}

interface LostPath {
  readonly runner: Runner;
  /** Monotonic ms. */
  readonly since: number;
}

/**
 * Tells a runner that failed from a path that did: a path is lost if the runner does
 * not respond to this daemon, but to a peer. Requests to it then go by way of a peer
 * until the runner responds to a probe again. If several paths are lost and no runner
 * responds directly, the others are presumed lost, too.
 *
 * @example
 * ```ts
 * if (await paths.check(runner)) paths.pathTo(runner); // "tunnel"
 * ```
 */
export class RunnerPaths {
  readonly #context: PathContext;
  /** By the runners' ids, in the order in which to probe them. */
  readonly #lost = new Map<string, LostPath>();
  readonly #checks = new Map<string, Promise<boolean>>();
  readonly #checkedAt = new Map<string, number>();
  #probing = false;
  /** When the first request was sent since the last response that got none. */
  #unansweredSince = -Infinity;

  constructor(context: PathContext) {
    this.#context = context;
  }

  /** Number of runners whose direct paths are lost. */
  get lost(): number {
    return this.#lost.size;
  }

  /** Whether this daemon is presumed to reach no runner directly. */
  get isolated(): boolean {
    if (this.#lost.size < LOST_PATHS_TO_ISOLATE) return false;
    const { lastResponseAt } = this.#context.reachability;
    const since = [...this.#lost.values()].filter((path) =>
      path.since >= lastResponseAt
    );
    return since.length >= LOST_PATHS_TO_ISOLATE;
  }

  /** Returns how to reach a runner. */
  pathTo({ id }: Pick<Runner, "id">): Path {
    return this.#lost.has(id) || this.isolated ? "tunnel" : "direct";
  }

  /**
   * Finds out whether the direct path to a runner is lost, after a direct connection
   * has failed.
   */
  check(runner: Runner): Promise<boolean> {
    return this.#checkOnce(runner, () => this.#isReached(runner, 0));
  }

  /**
   * Checks paths on which requests are in flight if no runner has sent anything for
   * some time: connections may hang without any failure.
   *
   * @param awaited returns the runners with requests in flight.
   * @returns when the checks have ended; undefined if there are none.
   */
  checkIfSilent(
    awaited: () => readonly Runner[],
  ): Promise<unknown> | undefined {
    const { reachability, now } = this.#context;
    const silentMs = reachability.silentMs(now());
    if (silentMs < SILENCE_MS || this.isolated) return undefined;
    const runners = awaited().filter(({ id }) => !this.#lost.has(id))
      .slice(0, LOST_PATHS_TO_ISOLATE);
    return Promise.all(
      runners.map((runner) => this.#checkSilence(runner, silentMs)),
    );
  }

  /**
   * Checks the path to a runner that did not respond to a request, if no other one
   * has sent anything since it was sent.
   *
   * @param sentAt monotonic ms.
   */
  checkUnanswered(runner: Runner, sentAt: number): void {
    const { reachability, now } = this.#context;
    const { lastResponseAt } = reachability;
    if (lastResponseAt >= sentAt) return;
    if (lastResponseAt >= this.#unansweredSince) this.#unansweredSince = sentAt;
    const silentMs = now() - this.#unansweredSince;
    if (silentMs < SILENCE_MS || this.isolated) return;
    const { log } = this.#context;
    const name = "silence_check";
    inBackground(this.#checkSilence(runner, silentMs), { name, log });
  }

  /** Asks peers whether they reach a runner now. */
  askPeers(runner: Runner): Promise<PeerVerdict> {
    return this.#context.askPeers(runner, 0);
  }

  /** Records that no peer could connect to a runner either. */
  recordTunnelFailure({ id }: Pick<Runner, "id">): void {
    const lost = this.#lost.get(id);
    if (lost !== undefined) this.#regain(lost.runner);
  }

  /** Forgets the paths to runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#lost.keys()) {
      if (!ids.has(id)) this.#lost.delete(id);
    }
    for (const id of this.#checkedAt.keys()) {
      if (!ids.has(id)) this.#checkedAt.delete(id);
    }
  }

  /**
   * Checks a path unless that is being done, or was done a moment ago.
   *
   * @param isLost returns whether the path is lost.
   */
  #checkOnce(runner: Runner, isLost: () => Promise<boolean>): Promise<boolean> {
    const { id } = runner;
    if (this.#lost.has(id)) return Promise.resolve(true);
    const running = this.#checks.get(id);
    if (running !== undefined) return running;
    const now = this.#context.now();
    const checkedAt = this.#checkedAt.get(id) ?? -Infinity;
    if (now - checkedAt < CHECK_INTERVAL_MS) return Promise.resolve(false);
    this.#checkedAt.set(id, now);
    const check = isLost().finally(() => this.#checks.delete(id)).then(
      (lost) => {
        if (lost) this.#lose(runner);
        return lost;
      },
    );
    this.#checks.set(id, check);
    return check;
  }

  #checkSilence(runner: Runner, silentMs: number): Promise<boolean> {
    return this.#checkOnce(runner, () => this.#hangs(runner, silentMs));
  }

  async #isReached(runner: Runner, withinMs: number): Promise<boolean> {
    return await this.#context.askPeers(runner, withinMs) === "reached";
  }

  /** Whether a runner responds to a peer, and not to a probe of this daemon. */
  async #hangs(runner: Runner, silentMs: number): Promise<boolean> {
    const [reached, responds] = await Promise.all([
      this.#isReached(runner, silentMs),
      this.#context.respondsDirectly(runner),
    ]);
    if (responds) this.#recordProbeResponse(runner);
    return reached && !responds;
  }

  #recordProbeResponse({ id }: Runner): void {
    const { reachability, now } = this.#context;
    reachability.recordResponse(id, now());
  }

  #lose(runner: Runner): void {
    const wasIsolated = this.isolated;
    this.#lost.set(runner.id, { runner, since: this.#context.now() });
    this.#context.pathLost(runner);
    this.#logChange("path_lost", runner, wasIsolated);
    if (this.#probing) return;
    this.#probing = true;
    void this.#probe();
  }

  #regain(runner: Runner): void {
    const wasIsolated = this.isolated;
    if (!this.#lost.delete(runner.id)) return;
    this.#context.pathRegained(runner);
    this.#logChange("path_regained", runner, wasIsolated);
  }

  #logChange(event: string, { id }: Runner, wasIsolated: boolean): void {
    this.#context.log.event(event, {
      runner: id,
      lost: this.#lost.size,
      isolated: this.isolated,
      was_isolated: wasIsolated,
    });
  }

  /** Probes lost paths in turn until none is left. */
  async #probe(): Promise<void> {
    let pauseMs = this.#probeIntervalMs;
    for (;;) {
      await pause(pauseMs, { background: true });
      const [next] = this.#lost.values();
      if (next === undefined) break;
      const { runner } = next;
      const responds = await this.#context.respondsDirectly(runner);
      if (responds) {
        this.#recordProbeResponse(runner);
        this.#regain(runner);
      } else {
        this.#moveToEnd(runner.id);
      }
      pauseMs = responds ? NEXT_PROBE_MS : this.#probeIntervalMs;
    }
    this.#probing = false;
  }

  #moveToEnd(id: string): void {
    const path = this.#lost.get(id);
    if (path === undefined) return;
    this.#lost.delete(id);
    this.#lost.set(id, path);
  }

  /** Spread, so that the hosts of a partition do not return in step. */
  get #probeIntervalMs(): number {
    return PROBE_INTERVAL_MS * (0.5 + this.#context.random());
  }
}
