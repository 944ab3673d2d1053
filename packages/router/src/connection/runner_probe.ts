/**
 * Probes of runners, on connections of their own.
 *
 * @module
 */
import { request } from "node:http";
import type { ClientRequest } from "node:http";
import { arrivalsHandled } from "../process/arrivals.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerNetwork } from "./runner_network.ts";

/** Time-out in ms for a live runner to accept a connection. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Time in ms for which an accepted connection must stay open: a partition may accept
 * it and then reset it, and so does the system for a process that is ending.
 */
export const HOLD_MS = 30;

/** How a runner's address responded to a new connection. */
export type ConnectResult = "accepted" | "refused" | "failed" | "timeout";

/** Opens and closes a connection to a runner. */
export function connectTo(
  network: RunnerNetwork,
  runner: Runner,
): Promise<ConnectResult> {
  return new Promise((resolve) => {
    const socket = network.connect(runner);
    const settle = (result: ConnectResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    let connected = false;
    const expire = async () => {
      await arrivalsHandled();
      if (!connected) settle("timeout");
    };
    const accept = async () => {
      await arrivalsHandled();
      settle("accepted");
    };
    let timer = setTimeout(() => void expire(), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      connected = true;
      clearTimeout(timer);
      timer = setTimeout(() => void accept(), HOLD_MS);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === "ECONNREFUSED" ? "refused" : "failed");
    });
    socket.once("end", () => settle("failed"));
    socket.once("close", () => settle("failed"));
  });
}

/**
 * Sends a health check to a runner, and returns whether there is any response. A
 * connection that is accepted may lead nowhere; a response shows that the path
 * carries data both ways.
 *
 * @param options.path path of the service's health check; false if it is unusable.
 */
export function respondsToProbe(
  runner: Runner,
  options: {
    readonly network: RunnerNetwork;
    readonly path: string;
    readonly timeoutMs: number;
  },
): Promise<boolean> {
  const { timeoutMs } = options;
  return new Promise((resolve) => {
    const probe = createProbe(runner, options);
    if (probe === undefined) return resolve(false);
    const settle = (responds: boolean) => {
      clearTimeout(timer);
      resolve(responds);
      probe.destroy();
    };
    const timer = setTimeout(() => settle(false), timeoutMs);
    probe.once("response", () => settle(true));
    probe.on("error", () => settle(false));
    probe.end();
  });
}

/** Returns the request of a probe; undefined if Node rejects its path. */
function createProbe(runner: Runner, options: {
  readonly network: RunnerNetwork;
  readonly path: string;
}): ClientRequest | undefined {
  const { network, path } = options;
  try {
    return request({
      createConnection: () => network.connect(runner),
      host: runner.address,
      port: runner.port,
      path,
      headers: { connection: "close" },
    });
  } catch {
    return undefined;
  }
}
