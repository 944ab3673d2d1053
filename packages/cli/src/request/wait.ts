/**
 * Waiting until every live daemon has a version of the table in force.
 *
 * @module
 */
import * as Clock from "effect/Clock";
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import type { Context } from "./context.ts";

const POLL_MS = 100;

/** What one daemon has in force. */
export interface DaemonVersion {
  /** Absent when no URL is known for it. */
  readonly url?: string;
  readonly name?: string;
  /** Absent when it could not be asked. */
  readonly version?: number;
  readonly reason?: string;
}

/** How the wait ended. */
export interface Waited {
  readonly inForce: readonly DaemonVersion[];
  /** Live daemons that have not the version in force. */
  readonly behind: readonly DaemonVersion[];
}

/**
 * Waits until the daemons at the configured operators' ports have at least the
 * version in force. A daemon that cannot be asked is waited for, unless none of
 * those that can be asked believes it to be live.
 */
export function waitInForce(
  context: Context,
  goal: { readonly version: number; readonly timeoutMs: number },
): Effect.Effect<Waited> {
  return Effect.gen(function* () {
    const giveUpAt = (yield* Clock.currentTimeMillis) + goal.timeoutMs;
    while (true) {
      const waited = yield* askAll(context, goal.version);
      if (waited.behind.length === 0) return waited;
      if ((yield* Clock.currentTimeMillis) >= giveUpAt) return waited;
      yield* Effect.sleep(POLL_MS);
    }
  });
}

function askAll(context: Context, version: number): Effect.Effect<Waited> {
  return Effect.gen(function* () {
    const { operatorUrls } = context.settings;
    const ask = { concurrency: "unbounded" } as const;
    const [answers, views] = yield* Effect.all([
      Effect.forEach(operatorUrls, (url) => askVersion(context, url), ask),
      Effect.forEach(operatorUrls, (url) => askLive(context, url), ask),
    ], ask);
    const inForce = answers.filter((each) => (each.version ?? 0) >= version);
    const late = answers.filter((each) => (each.version ?? 0) < version);
    const asked = new Set(answers.flatMap(({ name }) => name ?? []));
    // Nobody to tell which of the others are live: wait for all of them.
    if (asked.size === 0) return { inForce, behind: late };
    const behind = late.filter(({ name }) => name !== undefined);
    return { inForce, behind: [...behind, ...unasked(views.flat(), asked)] };
  });
}

/** Live daemons that gave no answer, or that no URL is configured for. */
function unasked(
  live: readonly string[],
  asked: ReadonlySet<string>,
): readonly DaemonVersion[] {
  return [...new Set(live)]
    .filter((name) => !asked.has(name))
    .map((name) => ({ name, reason: "It could not be asked" }));
}

function askVersion(
  context: Context,
  url: string,
): Effect.Effect<DaemonVersion> {
  return Effect.map(
    Effect.result(context.operators.get(url, "/table")),
    (answer): DaemonVersion => {
      if (Result.isFailure(answer)) {
        return { url, reason: answer.failure.reason };
      }
      const { name, version } = answer.success as Partial<DaemonVersion>;
      return {
        url,
        ...(typeof name === "string" ? { name } : {}),
        ...(typeof version === "number"
          ? { version }
          : { reason: "It has no table yet" }),
      };
    },
  );
}

/** Names of the daemons that the one at a URL believes to be live. */
function askLive(
  context: Context,
  url: string,
): Effect.Effect<readonly string[]> {
  return Effect.map(
    Effect.result(context.operators.get(url, "/daemons")),
    (answer) => {
      if (Result.isFailure(answer)) return [];
      const { daemons } = answer.success as {
        readonly daemons?: readonly {
          readonly name: string;
          readonly state: string;
        }[];
      };
      if (!Array.isArray(daemons)) return [];
      return daemons
        .filter(({ state }) => state !== "leaving")
        .map(({ name }) => name);
    },
  );
}
