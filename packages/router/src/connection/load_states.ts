/**
 * What daemons tell of the load on runners, put together to be sent.
 *
 * @module
 */
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { Share } from "../process/share.ts";
import type { Waiting } from "../process/runner_queue.ts";
import type { DaemonState, LoadShare, State } from "./peer_message.ts";

/** Milliseconds told of a request without target. */
const LONGEST_LEFT_MS = 3_600_000;

/** Puts states together from the loads that this daemon knows. */
export class LoadStates {
  readonly #name: string;
  readonly #loads: RunnerLoads;

  /** @param name of this daemon. */
  constructor(name: string, loads: RunnerLoads) {
    this.#name = name;
    this.#loads = loads;
  }

  /** All loads of this daemon. */
  whole(): DaemonState {
    return { ...this.changed(this.#loads.loaded(), []), whole: true };
  }

  /** The loads of this daemon on some runners, and what is new of prompts. */
  changed(
    runners: readonly string[],
    parts: DaemonState["parts"],
  ): DaemonState {
    const loads = runners.map((runner) => {
      const { own, queue } = this.#loads.of(runner);
      return shareOf(runner, own, queue.waiting);
    });
    return { daemon: this.#name, whole: false, loads, parts };
  }

  /** All loads that are known, by daemon. */
  all(): readonly DaemonState[] {
    const told = new Map<string, LoadShare[]>();
    for (const [runner, load] of this.#loads.entries()) {
      for (const [daemon, share] of load.others) {
        const shares = told.get(daemon) ?? [];
        told.set(daemon, shares);
        shares.push(shareOf(runner, share, load.queue.waitingAt(daemon)));
      }
    }
    const others = [...told].map(([daemon, loads]) => ({
      daemon,
      whole: true,
      loads,
      parts: [],
    }));
    return [this.whole(), ...others];
  }
}

/** The message in which a daemon tells its own state, with its versions. */
export function stateMessage(
  versions: Pick<State, "configuration" | "runners">,
  { whole, loads, parts }: DaemonState,
): State {
  return { kind: "state", ...versions, whole, loads, parts };
}

function shareOf(
  runner: string,
  share: Share,
  waiting: readonly Waiting[],
): LoadShare {
  const now = performance.now();
  return {
    runner,
    ...share,
    waiting: waiting.map(({ rank, since, startBy, unreadTokens }) => ({
      rank,
      unreadTokens,
      ageMs: Math.round(now - since),
      leftMs: Math.round(Math.min(startBy - now, LONGEST_LEFT_MS)),
    })),
  };
}
