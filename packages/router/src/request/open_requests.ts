/**
 * The requests whose responses are not finished.
 *
 * @module
 */
import { pause } from "../process/pause.ts";

/** A request that a daemon can end before it exits. */
export interface OpenRequest {
  /** Gives the caller its final response soon. */
  stop(): void;
  /** Ends the response at once, so that it does not appear complete. */
  abort(): void;
}

/** Time in ms in which a stopped request gets its final response. */
const STOP_MS = 50;

/**
 * Ends what is open when the daemon exits: the operating system would end the
 * connections in the ordinary way, and a response without a length would appear
 * complete.
 */
export class OpenRequests {
  readonly #requests = new Set<OpenRequest>();

  add(request: OpenRequest): void {
    this.#requests.add(request);
  }

  delete(request: OpenRequest): void {
    this.#requests.delete(request);
  }

  /** Gives all callers their final responses, as far as they can be given. */
  async stop(): Promise<void> {
    if (this.#requests.size === 0) return;
    for (const request of this.#requests) request.stop();
    await pause(STOP_MS);
    this.abort();
  }

  /** Ends all responses at once. */
  abort(): void {
    for (const request of this.#requests) request.abort();
  }
}
