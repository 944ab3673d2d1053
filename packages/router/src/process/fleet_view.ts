/**
 * The daemons among which fleet-wide limits and tasks are divided.
 *
 * @module
 */

/** The fleet as seen by one daemon. */
export interface FleetView {
  /** Name of this daemon. */
  readonly own: string;
  /**
   * Names of daemons that all other daemons know, too: all of a small fleet, or
   * some of a large one, which need not include `own`. With names known only to
   * some, daemons would compute different assignments, each including itself.
   */
  readonly names: readonly string[];
  /** Total number of daemons. */
  readonly fleetSize: number;
}
