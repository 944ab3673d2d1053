/**
 * Servers that listen as soon as their address is free.
 *
 * @module
 */
import type { AddressInfo, Server } from "node:net";
import type { EventLog } from "../process/event_log.ts";
import type { ListenAddress } from "../process/settings.ts";

/** Interval in ms between attempts to listen at an address. */
const RETRY_MS = 100;
/** Minimum time in ms between two log lines about the same kind of failure. */
const LOG_INTERVAL_MS = 30_000;
/** Errors of an address that stay until the settings change. */
const LASTING_ERRORS: ReadonlySet<string> = new Set([
  "EACCES",
  "EAFNOSUPPORT",
  "EINVAL",
  "ENOTFOUND",
  "EPERM",
  "ERR_INVALID_ARG_TYPE",
  "ERR_INVALID_ARG_VALUE",
  "ERR_SOCKET_BAD_PORT",
]);

function isLasting(error: unknown): boolean {
  const code = (error as NodeJS.ErrnoException).code;
  return code !== undefined && LASTING_ERRORS.has(code);
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * Listens with a server, and tries again while the address is in use or not assigned.
 *
 * Such conditions pass, and a process that ended would be started again into the same
 * one: each start would count as one more failure of the process.
 */
export class Listening {
  readonly #server: Server;
  readonly #name: string;
  readonly #log: EventLog;
  #closed = false;
  #retryTimer: NodeJS.Timeout | undefined;
  #finish: (() => void) | undefined;
  /** Monotonic time of the first attempt. */
  #startedAt = 0;
  #failures = 0;
  #loggedAt = -Infinity;
  /** When an error of accepting connections was logged last. */
  #acceptLoggedAt = -Infinity;

  /** @param options.name name of the server in the log. */
  constructor(
    server: Server,
    options: { readonly name: string; readonly log: EventLog },
  ) {
    this.#server = server;
    this.#name = options.name;
    this.#log = options.log;
    // Without a listener, each error of accepting a connection ends the process.
    server.on("error", (error) => this.#logAcceptFailure(error));
  }

  /** Whether the server accepts connections. */
  get isOpen(): boolean {
    return !this.#closed && this.#server.listening;
  }

  /** The port that the server listens on; 0 before it does. */
  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  /**
   * Listens at an address. Resolves when the server listens or has been closed, and
   * rejects if it never can listen there.
   */
  open(address: ListenAddress): Promise<void> {
    this.#startedAt = performance.now();
    return new Promise((resolve, reject) => {
      this.#finish = resolve;
      this.#attempt(address, reject);
    });
  }

  /** Stops listening, or trying to. */
  close(): void {
    this.#closed = true;
    clearTimeout(this.#retryTimer);
    if (this.#server.listening) this.#server.close();
    this.#finish?.();
  }

  #attempt(address: ListenAddress, reject: (error: unknown) => void): void {
    const failed = (error: unknown) => {
      this.#server.off("listening", opened);
      this.#failed(address, error, reject);
    };
    const opened = () => {
      this.#server.off("error", failed);
      this.#opened(address);
    };
    this.#server.once("error", failed);
    this.#server.once("listening", opened);
    try {
      this.#server.listen(address.port, address.host);
    } catch (error) {
      this.#server.off("error", failed);
      failed(error);
    }
  }

  #failed(
    address: ListenAddress,
    error: unknown,
    reject: (error: unknown) => void,
  ): void {
    if (this.#closed) return;
    const lasting = isLasting(error);
    this.#logFailure(address, error, lasting);
    if (lasting) return reject(error);
    this.#retryTimer = setTimeout(
      () => this.#attempt(address, reject),
      RETRY_MS,
    );
  }

  #opened({ host, port }: ListenAddress): void {
    // Closed after the attempt had begun.
    if (this.#closed) return void this.#server.close();
    if (this.#failures > 0) {
      this.#log.event("listen_succeeded", {
        server: this.#name,
        address: `${host}:${port}`,
        attempts: this.#failures + 1,
        after_ms: this.#elapsedMs(),
      });
    }
    this.#finish?.();
  }

  #logFailure(
    { host, port }: ListenAddress,
    error: unknown,
    lasting: boolean,
  ): void {
    this.#failures += 1;
    const now = performance.now();
    if (!lasting && now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    this.#log.event("listen_failed", {
      server: this.#name,
      address: `${host}:${port}`,
      reason: reasonOf(error),
      attempts: this.#failures,
      after_ms: this.#elapsedMs(),
      retry_ms: lasting ? undefined : RETRY_MS,
    });
  }

  #logAcceptFailure(error: Error): void {
    if (!this.isOpen) return;
    const now = performance.now();
    if (now - this.#acceptLoggedAt < LOG_INTERVAL_MS) return;
    this.#acceptLoggedAt = now;
    this.#log.event("accept_failed", {
      server: this.#name,
      reason: error.message,
    });
  }

  #elapsedMs(): number {
    return Math.round(performance.now() - this.#startedAt);
  }
}
