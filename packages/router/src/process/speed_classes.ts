/**
 * Speed of the runners of a service in few classes that seldom change.
 *
 * @module
 */

/** Factor between the speeds of two classes. */
const CLASS_FACTOR = 1.25;
/** Distance from its class, in classes, at which a runner gets another one. */
const HYSTERESIS = 0.75;

/**
 * Keeps a class of speed for each runner. Where estimates of daemons differ by
 * less than a class, they mostly agree, and prompts stay at their home runners
 * while an estimate varies.
 */
export class SpeedClasses {
  readonly #classes = new Map<string, number>();

  /**
   * Speed of a runner's class; 1 is the mean of the service.
   *
   * @param name of the runner, which stays the same when it starts again.
   * @param factor time of its work relative to the mean.
   */
  speed(name: string, factor: number): number {
    const exact = -Math.log(factor) / Math.log(CLASS_FACTOR);
    const known = this.#classes.get(name);
    const holds = known !== undefined && Math.abs(exact - known) < HYSTERESIS;
    const current = holds ? known : Math.round(exact);
    this.#classes.set(name, current);
    return CLASS_FACTOR ** current;
  }

  /** Forgets runners that are not listed. */
  retain(names: { has(name: string): boolean }): void {
    for (const name of this.#classes.keys()) {
      if (!names.has(name)) this.#classes.delete(name);
    }
  }
}
