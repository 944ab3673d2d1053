/**
 * The platform's list of hosts, and validation of its entries.
 *
 * @module
 */
import { isAddress, isPort } from "./endpoint.ts";

/** A host as listed by the platform. */
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

/** The hosts listed by the platform; the list may be stale by seconds. */
export interface HostList {
  /** The hosts last received. They are kept while the platform is down. */
  hosts(): readonly Host[];
  /** Whether the platform answered the last request. */
  current(): boolean;
  /**
   * Calls the listener after each change of the list.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (hosts: readonly Host[]) => void): () => void;
}

/** A malformed host in the platform's response. It is omitted from the list. */
export interface HostFinding {
  /** Zero-based index in the response. */
  readonly index: number;
  readonly message: string;
}

/** The hosts parsed from a response of the platform. */
export interface ParsedHosts {
  readonly hosts: readonly Host[];
  readonly findings: readonly HostFinding[];
}

type Check = (value: unknown) => string | undefined;

function checkText(value: unknown): string | undefined {
  return typeof value === "string" ? undefined : "expected a string";
}

function checkName(value: unknown): string | undefined {
  return value === "" ? "expected a non-empty string" : checkText(value);
}

function checkInteger(value: unknown): string | undefined {
  return Number.isSafeInteger(value) ? undefined : "expected an integer";
}

function checkAddress(value: unknown): string | undefined {
  return isAddress(value) ? undefined : "expected an IP address";
}

function checkPort(value: unknown): string | undefined {
  return isPort(value) ? undefined : "expected a port from 1 to 65535";
}

function oneOf(...words: readonly string[]): Check {
  const listed = words.map((word) => `"${word}"`).join(" or ");
  return (value) =>
    words.some((word) => word === value) ? undefined : `expected ${listed}`;
}

// Validated by hand, since effect's schema module would take 11 MB of a
// daemon's 64 MB for this single record type.
const CHECKS: Readonly<Record<keyof Host, Check>> = {
  name: checkName,
  role: oneOf("entry", "runner"),
  service: (value) => value === undefined ? undefined : checkText(value),
  address: checkAddress,
  port: checkPort,
  region: checkText,
  failureDomain: checkText,
  state: oneOf("live", "leaving"),
  incarnation: checkInteger,
};

function findingsOf(item: unknown): readonly string[] {
  if (typeof item !== "object" || item === null) return ["expected an object"];
  const fields = new Map<string, unknown>(Object.entries(item));
  return Object.entries(CHECKS).flatMap(([field, check]) => {
    const finding = check(fields.get(field));
    return finding === undefined ? [] : [`"${field}": ${finding}`];
  });
}

function isHost(item: unknown): item is Host {
  return findingsOf(item).length === 0;
}

/**
 * Parses the hosts of a response. Malformed hosts are reported and omitted, so
 * that they do not prevent the use of the others.
 */
export function parseHosts(items: readonly unknown[]): ParsedHosts {
  const hosts: Host[] = [];
  const findings: HostFinding[] = [];
  items.forEach((item, index) => {
    if (isHost(item)) hosts.push(item);
    else findings.push({ index, message: findingsOf(item).join("; ") });
  });
  return { hosts, findings };
}

/**
 * A constant host list, for tests and for deployments without a platform.
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
