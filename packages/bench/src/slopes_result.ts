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
  "entryBroker",
  "entryRequest",
  "entryToken",
  "entryStream",
  "broker",
  "brokerEntry",
  "brokerGrant",
  "brokerRunner",
  "partitionOwner",
  "claimKept",
  "watcher",
  "follower",
  "watcherRow",
  "shareOwner",
  "shareHolder",
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
  readonly command: string;
  /** Day of the run, as `2026-12-02`. */
  readonly date: string;
  readonly samples: readonly Sample[];
  /**
   * The same process without the load: what is not the role's own. Zero where
   * no such sample can be taken, as for a member.
   */
  readonly idle: Sample;
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
  readonly machine: Machine;
  /**
   * Resident memory of a process that runs the coordination library alone,
   * with the largest view measured; most of it is Node itself.
   */
  readonly baseRssBytes?: number;
  readonly slopes: Readonly<Partial<Record<Role, Slope>>>;
  readonly fits: Readonly<Partial<Record<Role, Fit>>>;
}

const NOTHING: Sample = {
  x: 0,
  cpuMicros: 0,
  bytes: 0,
  messages: 0,
  stateBytes: 0,
  storeCalls: 0,
};

/** Where a fit comes from. */
export interface Provenance {
  readonly per: string;
  readonly how: string;
  readonly command: string;
  readonly date: string;
}

/**
 * Fits a line to each quantity of a role's samples. The sample at load 0, if
 * there is one, is what the process spends without the role; with
 * `withoutIdle` the lines are fitted to the others alone, for a role that costs
 * something as soon as it has any load.
 */
export function fitSamples(
  samples: readonly Sample[],
  options: Provenance & { readonly withoutIdle?: boolean },
): Fit {
  const { withoutIdle = false, ...provenance } = options;
  const fitted = samples.filter(({ x }) => x > 0 || !withoutIdle);
  const line = (quantity: Quantity) =>
    fitLine(fitted.map((sample) => ({ x: sample.x, y: sample[quantity] })));
  return {
    ...provenance,
    samples,
    idle: samples.find(({ x }) => x === 0) ?? NOTHING,
    lines: {
      cpuMicros: line("cpuMicros"),
      bytes: line("bytes"),
      messages: line("messages"),
      stateBytes: line("stateBytes"),
      storeCalls: line("storeCalls"),
    },
  };
}

/** Slopes of a fit's lines; `r2` tells how well the one of CPU time fits. */
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
