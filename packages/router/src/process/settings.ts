/**
 * Settings of the router, which are read from JSON.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { SCHEDULING_SETTINGS } from "./scheduling_mode.ts";
import type { SchedulingSettings } from "./scheduling_mode.ts";
import { quoteValue } from "./value_quote.ts";
import { bufferLimits, defaultBufferMb } from "./buffer_budget.ts";
import type { BufferLimits } from "./buffer_budget.ts";
import { acceptLimits } from "./connection_limits.ts";
import type { AcceptLimits, ProcessResources } from "./connection_limits.ts";

/** Address at which a server listens or is reached. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Default number of daemons from which on state updates are sent through relays. In
 * smaller fleets each daemon sends updates directly to all others, at an interval
 * of 4 ms for each of them: 96 ms with 24 daemons, which equals the delay of a path
 * through two relays.
 */
const RELAYS_FROM = 25;
/** Default limit of the bytes per second that are sent to one neighbour. */
const CONTROL_BYTES_PER_S = 29_000;

/** Settings of the leader, which acts for the whole fleet. */
export interface LeadershipSettings {
  /** Address of the platform's API. */
  readonly api: ListenAddress;
  /** Time in ms after which an unrenewed lease can be taken by another daemon. */
  readonly leaseMs: number;
  /** Whether the leader orders runners. */
  readonly ordersRunners: boolean;
  /** Absent if usage is not reported. */
  readonly usage: {
    readonly windowMs: number;
    /** Milliseconds after the end of a window by which its report is due. */
    readonly delayMs: number;
  } | undefined;
}

/** Settings of one router. */
export interface RouterSettings {
  /** Name of the host, unique in the fleet. */
  readonly name: string;
  readonly failureDomain: string;
  /** Address for callers. */
  readonly callers: ListenAddress;
  /** Address and path of the readiness check by the load balancer. */
  readonly readiness: ListenAddress & { readonly path: string };
  /** Address and path for collectors of metrics. */
  readonly metrics: ListenAddress & { readonly path: string };
  /** Address for other daemons. */
  readonly peers: ListenAddress;
  /**
   * Address at which other daemons reach this one, if it is not `peers`: the
   * external address when network address translation is used.
   */
  readonly advertised: ListenAddress | undefined;
  /** Bandwidth of the host's network link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  /** Number of daemons from which on state updates are sent through relays. */
  readonly relaysFrom: number;
  /**
   * Limit of the bytes per second, on average, for loads that are sent to one
   * neighbour through relays.
   */
  readonly controlBytesPerS: number;
  /** Addresses at which other daemons may be reachable, as "IP:PORT". */
  readonly seeds: readonly string[];
  /** Address of the platform's store. */
  readonly store: ListenAddress;
  /** Limits of the connections that are accepted. */
  readonly accepts: AcceptLimits;
  /** Time in ms from SIGTERM to the kill by the platform. */
  readonly graceMs: number;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  readonly scheduling: SchedulingSettings;
  /** Memory of the host in MB; undefined if unknown. */
  readonly memoryMb: number | undefined;
  /** Limits of the bytes that are buffered for callers and runners. */
  readonly buffers: BufferLimits;
  /**
   * Whether what the caller of a stream does not read is buffered. Otherwise the
   * stream's runner is paused.
   */
  readonly holdsStreams: boolean;
  /** Absent if the platform has no API; the fleet then has no leader. */
  readonly leadership: LeadershipSettings | undefined;
}

/** An error in the settings. */
export interface SettingFinding {
  /** Path of the setting, such as `callers.port`. */
  readonly place: string;
  readonly text: string;
}

const MAX_PORT = 65_535;

/** Reads values, and collects findings for invalid ones. */
class SettingsReader {
  readonly findings: SettingFinding[] = [];

  text(from: unknown, place: string): string {
    const value = valueAt(from, place);
    if (typeof value === "string" && value !== "") return value;
    return this.#reject(place, "a string", value, "");
  }

  texts(from: unknown, place: string): readonly string[] {
    const value = valueAt(from, place);
    if (
      Array.isArray(value) && value.every((item) => typeof item === "string")
    ) {
      return value;
    }
    return this.#reject(place, "a list of strings", value, []);
  }

  number(from: unknown, place: string): number {
    const value = valueAt(from, place);
    if (typeof value === "number" && Number.isFinite(value)) return value;
    return this.#reject(place, "a number", value, 0);
  }

  numberOr(from: unknown, place: string, fallback: number): number {
    if (valueAt(from, place) === undefined) return fallback;
    return this.number(from, place);
  }

  address(from: unknown, place: string): ListenAddress {
    const text = this.text(from, place);
    const match = /^(.+):(\d{1,5})$/.exec(text);
    const port = Number(match?.[2]);
    if (match !== null && port <= MAX_PORT) return { host: match[1]!, port };
    return this.#reject(place, "an address like 10.0.0.1:80", text, {
      host: "",
      port: 0,
    });
  }

  positive(from: unknown, place: string): number {
    const value = this.number(from, place);
    if (value > 0) return value;
    return this.#reject(place, "a positive number", valueAt(from, place), 1);
  }

  flag(from: unknown, place: string): boolean {
    const value = valueAt(from, place);
    if (typeof value === "boolean") return value;
    return this.#reject(place, "true or false", value, false);
  }

  flagOr(from: unknown, place: string, fallback: boolean): boolean {
    if (valueAt(from, place) === undefined) return fallback;
    return this.flag(from, place);
  }

  choiceOr<Choice extends string>(
    from: unknown,
    place: string,
    options: {
      readonly choices: readonly Choice[];
      readonly fallback: Choice;
    },
  ): Choice {
    const { choices, fallback } = options;
    const value = valueAt(from, place);
    if (value === undefined) return fallback;
    const choice = choices.find((choice) => choice === value);
    if (choice !== undefined) return choice;
    return this.#reject(place, `one of ${choices.join(", ")}`, value, fallback);
  }

  optionalAddress(from: unknown, place: string): ListenAddress | undefined {
    if (valueAt(from, place) === undefined) return undefined;
    return this.address(from, place);
  }

  #reject<T>(place: string, expected: string, value: unknown, fallback: T): T {
    const found = quoteValue(value);
    const text =
      `Cannot read settings: "${place}" needs ${expected}, not ${found}`;
    this.findings.push({ place, text });
    return fallback;
  }
}

/** Returns the value at a path such as `callers.port`, if there is one. */
function valueAt(from: unknown, place: string): unknown {
  let value = from;
  for (const name of place.split(".")) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Readonly<Record<string, unknown>>)[name];
  }
  return value;
}

function holdsStreams(json: unknown): boolean {
  return valueAt(json, "bufferMb") !== undefined ||
    valueAt(json, "guarantees.pressure") === true;
}

function readBuffers(
  json: unknown,
  reader: SettingsReader,
  memoryMb: number | undefined,
): BufferLimits {
  if (valueAt(json, "bufferMb") !== undefined) {
    return bufferLimits(reader.positive(json, "bufferMb"));
  }
  const options = { holdsStreams: holdsStreams(json) };
  return bufferLimits(defaultBufferMb(memoryMb, options));
}

function readOptional(
  json: unknown,
  reader: SettingsReader,
  place: string,
): number | undefined {
  if (valueAt(json, place) === undefined) return undefined;
  return reader.positive(json, place);
}

function readAcceptLimits(
  json: unknown,
  reader: SettingsReader,
  resources: ProcessResources,
): AcceptLimits {
  const { descriptors, memoryMb } = resources;
  const limits = acceptLimits({
    descriptors: readOptional(json, reader, "maxDescriptors") ?? descriptors,
    memoryMb,
  });
  const connections = Math.min(
    limits.callers.connections,
    readOptional(json, reader, "maxConnections") ?? Infinity,
  );
  return { ...limits, callers: { ...limits.callers, connections } };
}

/** Reads the processor time of the host: a quota of cores of a relative speed. */
function readProcessor(
  json: unknown,
  reader: SettingsReader,
): number | undefined {
  if (valueAt(json, "processor") === undefined) return undefined;
  return reader.positive(json, "processor.quota") *
    reader.positive(json, "processor.speed");
}

const MS_PER_SECOND = 1_000;

function readLeadership(
  json: unknown,
  reader: SettingsReader,
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
 * @param options.descriptors number that the process may open if the settings tell none.
 * @returns the settings, or all findings.
 *
 * @example
 * ```ts
 * const settings = parseSettings(readFileSync("router.json", "utf8"));
 * ```
 */
export function parseSettings(
  text: string,
  options: { readonly descriptors?: number | undefined } = {},
): Result<RouterSettings, readonly SettingFinding[]> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err([{ place: "", text: `Cannot read settings: ${reason}` }]);
  }
  const reader = new SettingsReader();
  const memoryMb = readOptional(json, reader, "memoryMb");
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
    accepts: readAcceptLimits(json, reader, {
      descriptors: options.descriptors,
      memoryMb,
    }),
    graceMs: reader.number(json, "graceMs"),
    retries: {
      ratio: reader.number(json, "retries.ratio"),
      extra: reader.number(json, "retries.extra"),
      windowMs: reader.positive(json, "retries.windowMs"),
    },
    scheduling: {
      scheduling: reader.choiceOr(json, "scheduling", {
        choices: SCHEDULING_SETTINGS,
        fallback: "auto",
      }),
      pressure: reader.flagOr(json, "guarantees.pressure", false),
      processor: readProcessor(json, reader),
    },
    memoryMb,
    buffers: readBuffers(json, reader, memoryMb),
    holdsStreams: holdsStreams(json),
    leadership: readLeadership(json, reader),
  };
  return reader.findings.length === 0 ? ok(settings) : err(reader.findings);
}
