/**
 * The daemons that divide what is there once for all of them.
 *
 * @module
 */

/** Those daemons, as one of them sees them. */
export interface FleetView {
  /** Name of the daemon that asks. */
  readonly own: string;
  /**
   * Names of daemons that all others know, too: all of a small fleet, some of a
   * large one, of which `own` need not be one. With names that only some know,
   * each daemon would see other ones responsible, itself among them.
   */
  readonly names: readonly string[];
  /** How many daemons there are in all. */
  readonly fleetSize: number;
}
