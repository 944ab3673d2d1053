/**
 * Runners: the back ends that requests are routed to.
 *
 * @module
 */

/** A back end, as the platform lists it. */
export interface Runner {
  /** Unique over the deployment. */
  readonly name: string;
  /** Name of the service it belongs to. */
  readonly service: string;
  /** IP address. */
  readonly address: string;
  /** TCP port of its HTTP server. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  /** A leaving runner finishes what it has and is given nothing new. */
  readonly state: "live" | "leaving";
  /** Grows when the host is replaced. */
  readonly incarnation: number;
}
