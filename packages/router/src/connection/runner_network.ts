/**
 * Opens connections to runners.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Runner } from "../process/runner.ts";
import { openSocket } from "./open_socket.ts";

/** Where a runner accepts connections. */
export type RunnerAddress = Pick<Runner, "address" | "port">;

/** The network between this daemon and the runners. */
export interface RunnerNetwork {
  /** Starts to open a connection. */
  connect(runner: RunnerAddress): Socket;
}

/** Connections over TCP. */
export class TcpRunnerNetwork implements RunnerNetwork {
  connect({ address, port }: RunnerAddress): Socket {
    return openSocket({ host: address, port });
  }
}
