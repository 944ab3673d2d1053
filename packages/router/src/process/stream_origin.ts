/**
 * Where a stream began, which decides where it may continue.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/**
 * The service and the software version of the runner that wrote the first event of
 * a stream. The events of two versions do not fit together, and runners do not
 * check this.
 */
export interface StreamOrigin {
  readonly service: string;
  /** Undefined if the runner's version is not known. */
  readonly software: string | undefined;
}

/** Returns the origin of a stream whose first event comes from a runner. */
export function originAt(
  { service, softwareVersion: software }: Runner,
): StreamOrigin {
  return { service, software };
}

/**
 * Whether a runner may continue a stream.
 *
 * @example
 * ```ts
 * mayContinue({ service: "llm", software: "v1" }, runner); // runner of v1 of "llm"
 * ```
 */
export function mayContinue(
  { service, software }: StreamOrigin,
  runner: Runner,
): boolean {
  return software !== undefined && runner.softwareVersion === software &&
    runner.service === service;
}
