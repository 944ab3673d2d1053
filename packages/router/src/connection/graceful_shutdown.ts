/**
 * Graceful shutdown of a daemon.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { Lifecycle } from "../process/lifecycle.ts";
import { pause } from "../process/pause.ts";
import type { CallerServer } from "./caller_server.ts";

/**
 * Milliseconds after SIGTERM for which connections are still accepted: the load
 * balancer checks readiness once a second and stops after two failed checks.
 */
const ACCEPT_MS = 2_600;
/** Milliseconds before the kill at which the process exits by itself. */
const EXIT_MARGIN_MS = 300;
/** Milliseconds between two checks whether all requests have ended. */
const CHECK_MS = 50;

/**
 * Serves new requests until the load balancer stops sending them, then finishes
 * the requests in flight within the grace period.
 *
 * @returns how many requests were cut off.
 */
export async function shutDownGracefully(
  server: CallerServer,
  options: {
    /** Milliseconds from SIGTERM to the kill; may change during the shutdown. */
    readonly graceMs: () => number;
    readonly lifecycle: Lifecycle;
    readonly log: EventLog;
    /** Number of tunnels that are served for peers. */
    readonly tunnels: () => number;
  },
): Promise<number> {
  const { graceMs, lifecycle, log, tunnels } = options;
  const startedAt = performance.now();
  const elapsedMs = () => performance.now() - startedAt;
  const leftMs = () => graceMs() - EXIT_MARGIN_MS - elapsedMs();
  const waitFor = async (remainingMs: () => number) => {
    for (let ms = remainingMs(); ms > 0; ms = remainingMs()) {
      await pause(Math.min(CHECK_MS, ms));
    }
  };
  log.event("leaving", { in_flight: server.inFlight });
  await waitFor(() => Math.min(ACCEPT_MS - elapsedMs(), leftMs()));
  lifecycle.close();
  server.stopAccepting();
  const inFlight = () => server.inFlight + tunnels();
  await waitFor(() => inFlight() > 0 ? leftMs() : 0);
  const cut = inFlight();
  log.event("stopped", { cut, after_ms: Math.round(elapsedMs()) });
  return cut;
}
