/**
 * The encoding of observed paces in messages between daemons.
 *
 * @module
 */
import { PACE_FIELDS } from "../process/pace_sums.ts";
import type { PaceSums } from "../process/pace_sums.ts";
import type { PaceAge } from "./peer_message.ts";

/** Observed pace of a runner; the last two fields only with a fresh figure. */
export type PackedPace = readonly [
  runner: string,
  /** Hundredths of each sum, as integers take half of the bytes. */
  sums: readonly number[],
  statedHundredths?: number,
  agoMs?: number,
];

const UNITS = 100;

/** Encodes the pace of a runner in some 60 bytes. */
export function packPace({ runner, sums, stated }: PaceAge): PackedPace {
  const units = PACE_FIELDS.map((field) => Math.round(UNITS * sums[field]));
  return stated === undefined
    ? [runner, units]
    : [runner, units, stated.hundredths, stated.agoMs];
}

/**
 * Decodes paces. A value that is no number becomes NaN, which the receiver
 * leaves out without losing the rest of the message.
 */
export function unpackPaces(packed: unknown): readonly PaceAge[] {
  if (!Array.isArray(packed)) return [];
  return packed.filter((item) => Array.isArray(item)).map(unpackPace);
}

function unpackPace(packed: readonly unknown[]): PaceAge {
  const [runner, units, hundredths, agoMs] = packed;
  const values: readonly unknown[] = Array.isArray(units) ? units : [];
  const sums = Object.fromEntries(
    PACE_FIELDS.map((field, index) => [field, toNumber(values[index]) / UNITS]),
  ) as unknown as PaceSums;
  return {
    runner: String(runner),
    sums,
    stated: hundredths === undefined ? undefined : {
      // A figure without an age is as useless as one that is no number.
      hundredths: toNumber(agoMs) >= 0 ? toNumber(hundredths) : NaN,
      agoMs: toNumber(agoMs),
    },
  };
}

function toNumber(value: unknown): number {
  return typeof value === "number" ? value : NaN;
}
