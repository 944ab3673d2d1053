/**
 * Runners: the backend servers that requests are routed to.
 *
 * @module
 */

/** A backend server, as listed by the platform. */
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
  /** A leaving runner finishes its requests and accepts no new ones. */
  readonly state: "live" | "leaving";
  /** Incremented when the host is replaced. */
  readonly incarnation: number;
}
