/**
 * Tracks the progress of one request.
 *
 * @module
 */
import type { StreamOrigin } from "../process/stream_origin.ts";
import type { Suspect } from "../process/suspect.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import type { RequestReturn } from "./request_return.ts";

/** Why a request gets its final response before a runner has given one. */
export type Expiry =
  /** The caller's time or that of the route has passed. */
  | "timeout"
  /** The daemon is about to exit. */
  | "stopped";

/** State of one request, shared by all objects that handle it. */
export class Progress {
  readonly startedAt: number;
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  /** Ids of the runners tried so far. */
  readonly triedRunners = new Set<string>();
  /**
   * Ids of the runners that did not confirm that their entries hold, so that they
   * must not continue the stream.
   */
  readonly unconfirmedRunners = new Set<string>();
  /** Number of attempts that may have reached their runners. */
  attempts = 0;
  /**
   * Whether any byte may have reached a runner that did not refuse the request.
   */
  mayHaveRun = false;
  /** Why the final response is due now; undefined while there is time left. */
  expiry: Expiry | undefined;
  /** Whether the next retry was taken from the budget before its attempt began. */
  retryReserved = false;
  /**
   * Whether the request was withdrawn from a runner before the runner
   * began to run it.
   */
  withdrawn = false;
  /**
   * When the time for the final response expires, in monotonic milliseconds.
   */
  expiresAt = Infinity;
  /**
   * Hash that is the same for each attempt of the request; empty until the body is
   * received.
   */
  fingerprint = "";
  /**
   * The request, and the parts of its prompt that others may share, as suspects of
   * crashes; empty until the body is received.
   */
  suspects: readonly Suspect[] = [];
  /**
   * Where the stream began of which the caller has an event; only runners that may
   * continue it are tried.
   */
  origin: StreamOrigin | undefined;
  /**
   * Whether the request has a body; callers of one workspace often send the same
   * request without one.
   */
  hasBody = false;
  /**
   * The request's return after a refusal; undefined until the body is received, and
   * where the service is not scheduled adaptively.
   */
  returning: RequestReturn | undefined;

  constructor(daemon: Daemon, caller: Caller) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.startedAt = daemon.now();
  }

  /** Whether the time for the final response has expired. */
  get expired(): boolean {
    return this.expiry !== undefined;
  }

  /** Whether a runner's response is no longer needed. */
  get abandoned(): boolean {
    return this.expired || this.withdrawn || this.#caller.disconnected;
  }

  /** Milliseconds until the final response is due. */
  get remainingMs(): number {
    return this.expiresAt - this.#daemon.now();
  }
}
