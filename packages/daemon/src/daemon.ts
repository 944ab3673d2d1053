/**
 * Composes the parts of the daemon.
 *
 * @module
 */
import process from "node:process";
import * as Effect from "effect/Effect";
import { openCallerServer } from "./connection/caller_server.ts";
import {
  jsonAnswer,
  openOperatorServer,
} from "./connection/operator_server.ts";
import type { ListenFailed } from "./connection/listener.ts";
import { DecisionHistory } from "./process/decisions.ts";
import { LineLog } from "./process/log_lines.ts";
import { PlatformPoll } from "./process/platform_poll.ts";
import type { Settings } from "./process/settings.ts";
import { CallerRequests } from "./request/caller_requests.ts";
import { LeastInFlightScheduler } from "./request/least_in_flight_scheduler.ts";
import { SingleAttemptRunner } from "./request/single_attempt_runner.ts";

/** Ends when SIGTERM comes. */
const terminated = Effect.callback<void>((resume) => {
  process.once("SIGTERM", () => resume(Effect.void));
});

/**
 * Runs a daemon until SIGTERM.
 *
 * @returns the exit status of the process.
 */
export function runDaemon(
  settings: Settings,
): Effect.Effect<number, ListenFailed> {
  return Effect.gen(function* () {
    const decisions = new DecisionHistory();
    const log = new LineLog((line) => process.stdout.write(`${line}\n`), {
      decisions,
    });
    const poll = new PlatformPoll(settings.platform, log);
    let leaving = false;
    const requests = new CallerRequests({
      runner: new SingleAttemptRunner(
        new LeastInFlightScheduler(() => poll.runners),
      ),
      limits: settings.limits,
      log,
      observer: { ended: () => {}, refused: () => {}, dropped: () => {} },
      table: () => poll.table,
      leaving: () => leaving,
    });
    const callers = yield* openCallerServer(settings.listen, {
      limits: settings.limits,
      handler: requests,
    });
    const ready = () => poll.table !== undefined && !leaving;
    const operators = yield* openOperatorServer(settings.operators, {
      "/healthz": () => jsonAnswer({ healthy: true }),
      "/readyz": () => jsonAnswer({ ready: ready() }, ready() ? 200 : 503),
      "/runners": () => jsonAnswer({ runners: poll.runners }),
      "/table": () => jsonAnswer({ version: poll.version, table: poll.table }),
      "/decisions": (query) =>
        jsonAnswer({ decisions: decisions.of(query.get("request") ?? "") }),
    });
    log.event("listening", {
      callers: callers.place,
      operators: operators.place,
      peers: `${settings.peers.address}:${settings.peers.port}`,
    });
    yield* Effect.forkDetach(poll.run);
    yield* terminated;
    leaving = true;
    callers.close();
    yield* requests.idle;
    operators.close();
    return 0;
  });
}
