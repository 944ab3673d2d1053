/**
 * The platform's list of hosts: who may exist.
 *
 * @module
 */
import * as Exit from "effect/Exit";
import * as Schema from "effect/Schema";

const HostSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  role: Schema.Literals(["entry", "runner"]),
  service: Schema.optionalKey(Schema.String),
  address: Schema.NonEmptyString,
  port: Schema.Int,
  region: Schema.String,
  failureDomain: Schema.String,
  state: Schema.Literals(["live", "leaving"]),
  incarnation: Schema.Int,
});

/** A host as the platform lists it. */
export interface Host {
  readonly name: string;
  readonly role: "entry" | "runner";
  /** Set for runners. */
  readonly service?: string;
  /** IP address. */
  readonly address: string;
  /** A runner's HTTP port, or an entry host's peer port. */
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: "live" | "leaving";
  /** Higher for a replaced host that reuses an address. */
  readonly incarnation: number;
}

/** The hosts that the platform lists; it lags behind the truth by seconds. */
export interface HostList {
  /** The hosts last heard of. They are kept while the platform is down. */
  hosts(): readonly Host[];
  /** Whether the platform answered the last time that it was asked. */
  current(): boolean;
  /**
   * Calls the listener after each change of the list.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (hosts: readonly Host[]) => void): () => void;
}

/** A host of the platform's answer that cannot be read. It is left out. */
export interface HostFinding {
  /** Place in the answer, from 0. */
  readonly index: number;
  readonly message: string;
}

/** Hosts read from an answer of the platform. */
export interface HostReading {
  readonly hosts: readonly Host[];
  readonly findings: readonly HostFinding[];
}

const decodeHost = Schema.decodeUnknownExit(HostSchema);

/**
 * Reads the hosts of an answer. One that is malformed is reported and left out,
 * so that it does not hide the others.
 */
export function readHosts(items: readonly unknown[]): HostReading {
  const hosts: Host[] = [];
  const findings: HostFinding[] = [];
  items.forEach((item, index) => {
    const exit = decodeHost(item, { errors: "all" });
    if (Exit.isSuccess(exit)) hosts.push(exit.value);
    else findings.push({ index, message: String(exit.cause) });
  });
  return { hosts, findings };
}

/**
 * A list that does not change, for deployments without a platform's list and
 * for tests.
 *
 * @example
 * ```ts
 * const list = fixedHostList([
 *   {
 *     name: "portmore-1",
 *     role: "entry",
 *     address: "127.0.0.1",
 *     port: 7000,
 *     region: "kingston",
 *     failureDomain: "portmore",
 *     state: "live",
 *     incarnation: 1,
 *   },
 * ]);
 * ```
 */
export function fixedHostList(hosts: readonly Host[]): HostList {
  return {
    hosts: () => hosts,
    current: () => true,
    subscribe: () => () => {},
  };
}
