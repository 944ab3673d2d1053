/**
 * Finds bodies that hold room while they hardly arrive.
 *
 * @module
 */

/** Bytes that count as progress of a body. */
const PROGRESS_BYTES = 16 * 1024;
/** Time in ms without progress after which a body counts as stalled. */
const STALL_MS = 1_000;

/** A body that arrives. */
export interface ArrivingBody {
  /** Bytes that it takes. */
  readonly bytes: number;
  /** Ends its request, because others need the room. */
  end(): void;
}

/** When a body last made progress. */
interface Progress {
  readonly at: number;
  readonly bytes: number;
}

/** The bodies that have not arrived completely. */
export class ArrivingBodies<Body extends ArrivingBody> {
  readonly #progress = new Map<Body, Progress>();

  /** Notes how many bytes of a body have arrived. */
  record(body: Body, bytes: number, now: number): void {
    const last = this.#progress.get(body);
    const advanced = last === undefined || bytes - last.bytes >= PROGRESS_BYTES;
    if (advanced) this.#progress.set(body, { at: now, bytes });
  }

  /** Forgets a body that is complete, or has been given up. */
  delete(body: Body): void {
    this.#progress.delete(body);
  }

  /** Returns the stalled body that takes the most. */
  stalled(now: number): Body | undefined {
    let largest: Body | undefined;
    for (const [body, { at }] of this.#progress) {
      if (now - at <= STALL_MS) continue;
      if (body.bytes > (largest?.bytes ?? 0)) largest = body;
    }
    return largest;
  }
}
