/**
 * Finds out whether a runner's process lives on after a response that states no end.
 *
 * @module
 */
import { pause } from "../process/pause.ts";
import type {
  Path,
  PeerVerdict,
  RunnerPaths,
} from "../process/runner_paths.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerConnections } from "./runner_connections.ts";
import type { RunnerNetwork } from "./runner_network.ts";
import { connectTo, HOLD_MS } from "./runner_probe.ts";
import type { ConnectResult } from "./runner_probe.ts";

/**
 * Number of connections that are tried, and ms between two, while they are reset: a
 * sound runner resets those beyond the number that it accepts.
 */
const MAX_TRIES = 3;
const TRY_INTERVAL_MS = 30;

/** What shows that a runner's process lives on, or why nothing does. */
export type LifeSign =
  /** Its other connections, which had been open before, have stayed open. */
  | "connected"
  /** How its address answered a new connection. */
  | ConnectResult
  /** What peers say of it. */
  | PeerVerdict
  /** It has not confirmed that it is the process that its entry tells of. */
  | "unconfirmed";

/** Whether it is shown that a runner's process lives on. */
export interface RunnerLife {
  readonly sign: LifeSign;
  readonly alive: boolean;
}

/** What a {@linkcode LifeDetector} uses of the daemon. */
export interface LifeContext {
  readonly network: RunnerNetwork;
  readonly paths: Pick<RunnerPaths, "pathTo" | "check" | "askPeers">;
  readonly connections: Pick<RunnerConnections, "stayOpen">;
  /**
   * Returns whether a runner, asked after a time in monotonic ms, confirms the start
   * that its entry states; true if it states none.
   */
  confirmsStart(runner: Runner, since: number): Promise<boolean>;
}

/**
 * Looks for evidence that a runner's process lives on: the system ends the connections
 * of a process that crashes in the ordinary way, which is also how a body without a
 * length ends. Without such evidence, that body may be a part.
 *
 * The opposite question, whether a crash is shown, is that of the
 * {@linkcode CrashDetector}: often neither is.
 *
 * @example
 * ```ts
 * const { alive } = await detector.check(runner, "direct");
 * ```
 */
export class LifeDetector {
  readonly #context: LifeContext;

  constructor(context: LifeContext) {
    this.#context = context;
  }

  /**
   * Checks a runner right after a connection to it has ended.
   *
   * @param path that of the connection: what ends on one path need not show on another.
   */
  async check(runner: Runner, path: Path): Promise<RunnerLife> {
    const { connections, paths } = this.#context;
    const endedAt = performance.now();
    const direct = path === "direct" && paths.pathTo(runner) === "direct";
    if (direct && await connections.stayOpen(runner, HOLD_MS)) {
      return { sign: "connected", alive: true };
    }
    const sign = await this.#ask(runner);
    if (sign === "reached") return { sign, alive: true };
    if (sign !== "accepted") return { sign, alive: false };
    // A new connection may lead to a new process at the same address.
    const alive = await this.#context.confirmsStart(runner, endedAt);
    return { sign: alive ? sign : "unconfirmed", alive };
  }

  /** Tries a new connection to a runner, here or at peers. */
  async #ask(runner: Runner): Promise<ConnectResult | PeerVerdict> {
    const { network, paths } = this.#context;
    if (paths.pathTo(runner) === "tunnel") return await paths.askPeers(runner);
    const response = await connectInTries(network, runner);
    if (response === "accepted" || !await paths.check(runner)) return response;
    // The path is lost; whether the runner was reached may have been asked before.
    return await paths.askPeers(runner);
  }
}

/** Tries to connect to a runner until a connection is not reset. */
async function connectInTries(
  network: RunnerNetwork,
  runner: Runner,
): Promise<ConnectResult> {
  for (let tries = 1;; tries++) {
    const response = await connectTo(network, runner);
    if (response !== "failed" || tries === MAX_TRIES) return response;
    await pause(TRY_INTERVAL_MS);
  }
}
