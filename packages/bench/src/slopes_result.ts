/**
 * What `bench slopes` finds, as it is kept in docs/capacity/slopes.json.
 *
 * @module
 */
import { fitLine, type Line } from "./slopes_fit.ts";

/**
 * Roles of a daemon, and parts of roles that grow with something else. Names
 * without a second part are those of the roles themselves.
 */
export const ROLES = [
  "entry",
  "entryToken",
  "entryStream",
  "broker",
  "brokerRunner",
  "brokerGrant",
  "partitionOwner",
  "watcher",
  "watcherRow",
  "shareOwner",
  "member",
  "link",
] as const;

/** A role, or a part of one. */
export type Role = typeof ROLES[number];

/** What one daemon spent and held at one load. */
export interface Sample {
  /** The load: how many of the role's unit, a second or at once. */
  readonly x: number;
  /** Processor microseconds a second. */
  readonly cpuMicros: number;
  /** Bytes a second, both ways together, as sockets carry them. */
  readonly bytes: number;
  /** Messages a second, both ways together. */
  readonly messages: number;
  /** Bytes of heap and buffers held. */
  readonly stateBytes: number;
  /** Calls to the platform's store a second. */
  readonly storeCalls: number;
}

/** A quantity of a sample. */
export type Quantity = Exclude<keyof Sample, "x">;

/** The quantities, in order of the page's columns. */
export const QUANTITIES: readonly Quantity[] = [
  "cpuMicros",
  "bytes",
  "messages",
  "stateBytes",
  "storeCalls",
];

/** A role's samples and the lines through them. */
export interface Fit {
  /** What the load counts: `request`, `member`. */
  readonly per: string;
  /** How it was measured, in a sentence. */
  readonly how: string;
  readonly samples: readonly Sample[];
  readonly lines: Readonly<Record<Quantity, Line>>;
}

/** One role's slopes. */
export interface Slope {
  readonly per: string;
  readonly cpuMicros: number;
  readonly bytes: number;
  readonly messages: number;
  readonly stateBytes: number;
  /** Of the processor time's line; the others' stand under `fits`. */
  readonly r2: number;
}

/** The machine that the figures come from. */
export interface Machine {
  readonly cores: number;
  readonly memoryGiB: number;
  readonly node: string;
}

/** All that was measured. Roles that were not are absent. */
export interface SlopesResult {
  readonly command: string;
  /** Day of the run, as `2026-12-02`. */
  readonly date: string;
  readonly machine: Machine;
  /**
   * Resident memory of a process that runs the coordination library alone,
   * with the largest view measured; most of it is Node itself.
   */
  readonly baseRssBytes?: number;
  readonly slopes: Readonly<Partial<Record<Role, Slope>>>;
  readonly fits: Readonly<Partial<Record<Role, Fit>>>;
}

/** Fits a line to each quantity of a role's samples. */
export function fitSamples(
  samples: readonly Sample[],
  options: { readonly per: string; readonly how: string },
): Fit {
  const line = (quantity: Quantity) =>
    fitLine(samples.map((sample) => ({ x: sample.x, y: sample[quantity] })));
  return {
    ...options,
    samples,
    lines: {
      cpuMicros: line("cpuMicros"),
      bytes: line("bytes"),
      messages: line("messages"),
      stateBytes: line("stateBytes"),
      storeCalls: line("storeCalls"),
    },
  };
}

/** The short form of a fit. */
export function slopeOf(fit: Fit): Slope {
  return {
    per: fit.per,
    cpuMicros: fit.lines.cpuMicros.slope,
    bytes: fit.lines.bytes.slope,
    messages: fit.lines.messages.slope,
    stateBytes: fit.lines.stateBytes.slope,
    r2: fit.lines.cpuMicros.r2,
  };
}
