/**
 * A runner, as the platform lists it.
 *
 * @module
 */

/** One life of a runner: a restart has another id, if not another name. */
export interface Runner {
  /** Names this life alone; see {@linkcode runnerId}. */
  readonly id: string;
  /** Name in the platform's list, which a restart may keep. */
  readonly name: string;
  /** When this life began, in Unix ms of its own clock, if it tells. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it is about to leave and takes nothing new. */
  readonly draining: boolean;
  /** Whether the platform may take it back, all of a failure domain at once. */
  readonly preemptible?: boolean | undefined;
  /** Milliseconds for which it is still slow after its start. */
  readonly warmUpMs: number;
}

const RADIX = 36;

/**
 * Names one life of a runner, by its name and start. All that is known of a
 * runner is kept by this id: what a life held, failed or had in flight is never
 * taken for that of the next one, also when a peer tells of it late.
 *
 * @example
 * ```ts
 * runnerId("i-7f3a", 1_789_070_168_000); // "i-7f3a~mtvzsp8g"
 * ```
 */
export function runnerId(
  name: string,
  startedAtMs: number | undefined,
): string {
  if (startedAtMs === undefined) return name;
  return `${name}~${startedAtMs.toString(RADIX)}`;
}
