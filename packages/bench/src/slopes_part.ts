/**
 * Parts of a rig: what one process of a measurement does.
 *
 * @module
 */
import type { Meter } from "./slopes_meter.ts";

/** A running part; it answers what the measurement asks of it. */
export interface Part {
  /** What others need to know of it, such as its ports. */
  readonly info: unknown;
  /** Carries out one command. */
  call(command: unknown): Promise<unknown>;
}

/** Makes a part in its own process. */
export type PartMaker = (config: unknown, meter: Meter) => Promise<Part>;

/** A module that makes a part. */
export interface PartModule {
  readonly makePart: PartMaker;
}
