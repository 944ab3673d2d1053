/**
 * Settings of the router, in JSON.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Where a server listens, or another one is reached. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Daemons from which on states go through relays, unless set. Up to here each
 * daemon tells all others directly, every 4 ms for each of them: 96 ms with 24
 * daemons, as long as the way through two relays takes.
 */
const RELAYS_FROM = 25;
/** Bytes a second for what one neighbour is told, unless set. */
const CONTROL_BYTES_PER_S = 29_000;

/** What one daemon at a time does for all. */
export interface LeadershipSettings {
  /** The platform's API. */
  readonly api: ListenAddress;
  /** How long a silent leader keeps its lease, in ms. */
  readonly leaseMs: number;
  /** Whether runners are ordered. */
  readonly ordersRunners: boolean;
  /** Absent where no usage is reported. */
  readonly usage: {
    readonly windowMs: number;
    /** Milliseconds after the end of a window by which its report is due. */
    readonly delayMs: number;
  } | undefined;
}

/** All that a router is told at its start. */
export interface RouterSettings {
  /** Name of the host, unique in the fleet. */
  readonly name: string;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly callers: ListenAddress;
  /** Where the balancer asks whether the daemon is ready, and the path. */
  readonly readiness: ListenAddress & { readonly path: string };
  /** Where collectors read metrics, and the path. */
  readonly metrics: ListenAddress & { readonly path: string };
  /** Where other daemons connect. */
  readonly peers: ListenAddress;
  /**
   * Where other daemons reach this one, if not at `peers`: the address before
   * it of a host that translates addresses.
   */
  readonly advertised: ListenAddress | undefined;
  /** Width of the host's network link, in Mbit/s; 0 when unknown. */
  readonly linkMbps: number;
  /** Daemons from which on states go through relays. */
  readonly relaysFrom: number;
  /** Bytes a second that one neighbour is told of loads through relays, on average. */
  readonly controlBytesPerS: number;
  /** Addresses of daemons that may be there, as "IP:PORT". */
  readonly seeds: readonly string[];
  /** The platform's store. */
  readonly store: ListenAddress;
  /** Most open connections of callers. */
  readonly maxConnections: number;
  /** Milliseconds from SIGTERM to the kill by the platform. */
  readonly graceMs: number;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  /** Absent where the platform has no API, and nothing is done for all. */
  readonly leadership: LeadershipSettings | undefined;
}

/** One thing wrong with the settings. */
export interface SettingFinding {
  /** Where, as in `callers.port`. */
  readonly place: string;
  readonly text: string;
}

/** Reads values and collects what is wrong with them. */
class Reader {
  readonly findings: SettingFinding[] = [];

  text(from: unknown, place: string): string {
    const value = valueAt(from, place);
    if (typeof value === "string" && value !== "") return value;
    return this.#wrong(place, "a text", value, "");
  }

  texts(from: unknown, place: string): readonly string[] {
    const value = valueAt(from, place);
    if (
      Array.isArray(value) && value.every((each) => typeof each === "string")
    ) {
      return value;
    }
    return this.#wrong(place, "a list of texts", value, []);
  }

  number(from: unknown, place: string): number {
    const value = valueAt(from, place);
    if (typeof value === "number" && Number.isFinite(value)) return value;
    return this.#wrong(place, "a number", value, 0);
  }

  numberOr(from: unknown, place: string, otherwise: number): number {
    if (valueAt(from, place) === undefined) return otherwise;
    return this.number(from, place);
  }

  address(from: unknown, place: string): ListenAddress {
    const text = this.text(from, place);
    const match = /^(.+):(\d{1,5})$/.exec(text);
    if (match !== null) return { host: match[1]!, port: Number(match[2]) };
    return this.#wrong(place, "an address like 10.0.0.1:80", text, {
      host: "",
      port: 0,
    });
  }

  positive(from: unknown, place: string): number {
    const value = this.number(from, place);
    if (value > 0) return value;
    return this.#wrong(place, "a number above 0", valueAt(from, place), 1);
  }

  flag(from: unknown, place: string): boolean {
    const value = valueAt(from, place);
    if (typeof value === "boolean") return value;
    return this.#wrong(place, "true or false", value, false);
  }

  optionalAddress(from: unknown, place: string): ListenAddress | undefined {
    if (valueAt(from, place) === undefined) return undefined;
    return this.address(from, place);
  }

  #wrong<T>(place: string, wanted: string, value: unknown, instead: T): T {
    const found = JSON.stringify(value) ?? "nothing";
    const text =
      `Cannot read settings: "${place}" needs ${wanted}, not ${found}`;
    this.findings.push({ place, text });
    return instead;
  }
}

function valueAt(from: unknown, place: string): unknown {
  let value = from;
  for (const name of place.split(".")) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[name];
  }
  return value;
}

const MS_PER_SECOND = 1_000;

function leadershipIn(
  json: unknown,
  reader: Reader,
): LeadershipSettings | undefined {
  const address = valueAt(json, "leadership.api");
  if (address === undefined || address === "") return undefined;
  const reported = valueAt(json, "leadership.usage") !== undefined;
  const seconds = (place: string) =>
    reader.positive(json, `leadership.usage.${place}`) * MS_PER_SECOND;
  return {
    api: reader.address(json, "leadership.api"),
    leaseMs: reader.positive(json, "leadership.leaseMs"),
    ordersRunners: reader.flag(json, "leadership.ordersRunners"),
    usage: reported
      ? { windowMs: seconds("windowS"), delayMs: seconds("delayS") }
      : undefined,
  };
}

/**
 * Reads settings from JSON text.
 *
 * @returns the settings, or all findings with their places.
 *
 * @example
 * ```ts
 * const settings = parseSettings(readFileSync("router.json", "utf8"));
 * ```
 */
export function parseSettings(
  text: string,
): Result<RouterSettings, readonly SettingFinding[]> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err([{ place: "", text: `Cannot read settings: ${reason}` }]);
  }
  const reader = new Reader();
  const settings: RouterSettings = {
    name: reader.text(json, "name"),
    failureDomain: reader.text(json, "failureDomain"),
    callers: reader.address(json, "callers"),
    readiness: {
      ...reader.address(json, "readiness.address"),
      path: reader.text(json, "readiness.path"),
    },
    metrics: {
      ...reader.address(json, "metrics.address"),
      path: reader.text(json, "metrics.path"),
    },
    peers: reader.address(json, "peers"),
    advertised: reader.optionalAddress(json, "advertised"),
    linkMbps: reader.numberOr(json, "linkMbps", 0),
    relaysFrom: reader.numberOr(json, "relaysFrom", RELAYS_FROM),
    controlBytesPerS: reader.numberOr(
      json,
      "controlBytesPerS",
      CONTROL_BYTES_PER_S,
    ),
    seeds: reader.texts(json, "seeds"),
    store: reader.address(json, "store"),
    maxConnections: reader.number(json, "maxConnections"),
    graceMs: reader.number(json, "graceMs"),
    retries: {
      ratio: reader.number(json, "retries.ratio"),
      extra: reader.number(json, "retries.extra"),
      windowMs: reader.number(json, "retries.windowMs"),
    },
    leadership: leadershipIn(json, reader),
  };
  return reader.findings.length === 0 ? ok(settings) : err(reader.findings);
}
