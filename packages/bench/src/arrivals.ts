/**
 * Open-loop arrivals, made from a seed alone: every policy that is compared
 * gets the very same requests at the very same moments.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Log-normal lengths in tokens, cut to a range. */
export interface Lengths {
  readonly median: number;
  /** Standard deviation of the logarithm; 0 for one length only. */
  readonly spread: number;
  readonly min: number;
  readonly max: number;
}

/** A workspace that sends, and its weight among the senders of a source. */
export interface Sender {
  readonly workspace: string;
  readonly weight: number;
}

/** Requests that come together. */
export interface Clustering {
  /** Requests in a cluster. */
  readonly size: number;
  /** Milliseconds over which a cluster is spread. */
  readonly withinMs: number;
  /** Clusters come at even intervals, as work due on the hour does. */
  readonly periodic: boolean;
}

/** Requests of one class. */
export interface Source {
  readonly class: string;
  readonly service: string;
  /** Absent for a plain service. */
  readonly model?: string;
  /** Mean rate when the phase's factor is 1. */
  readonly requestsPerSecond: number;
  readonly clustering?: Clustering;
  readonly prompt: Lengths;
  readonly output: Lengths;
  readonly streamed: boolean;
  readonly repeatable: boolean;
  readonly senders: readonly Sender[];
  /** Distinct beginnings of prompts, shared between requests. */
  readonly prefixes: number;
}

/** All sources of a deployment. */
export interface Mix {
  readonly name: string;
  readonly sources: readonly Source[];
}

/** A stretch of time with its own rates. */
export interface Phase {
  readonly name: string;
  readonly seconds: number;
  /** Factor on the rate of every class that `factors` does not name. */
  readonly factor: number;
  /** Factor on the rate of one class. */
  readonly factors?: Readonly<Record<string, number>>;
}

/** One request to be sent. */
export interface Arrival {
  /** Place in the order of sending, from 0. */
  readonly index: number;
  /** Milliseconds after the start. */
  readonly atMs: number;
  readonly phase: string;
  readonly class: string;
  readonly workspace: string;
  readonly service: string;
  readonly model?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests of a class with the same number begin with the same prompt. */
  readonly prefix: number;
  readonly streamed: boolean;
  readonly repeatable: boolean;
}

const MILLIS = 1_000;
const HASH_START = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

/** Random numbers of one source; FNV-1a keeps sources independent. */
class Chance {
  readonly #generator;

  constructor(seed: number, name: string) {
    let hash = HASH_START;
    for (const char of `${seed}/${name}`) {
      hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), HASH_PRIME);
    }
    this.#generator = xoroshiro128plus(hash);
  }

  /** Uniform in (0, 1]. */
  uniform(): number {
    return 1 - uniformFloat64(this.#generator);
  }

  exponential(mean: number): number {
    return -Math.log(this.uniform()) * mean;
  }

  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(this.uniform()));
    return radius * Math.cos(2 * Math.PI * this.uniform());
  }

  length(lengths: Lengths): number {
    const drawn = lengths.median * Math.exp(lengths.spread * this.normal());
    return Math.round(Math.min(lengths.max, Math.max(lengths.min, drawn)));
  }

  sender(senders: readonly Sender[]): string {
    const total = senders.reduce((sum, sender) => sum + sender.weight, 0);
    let left = this.uniform() * total;
    for (const sender of senders) {
      left -= sender.weight;
      if (left <= 0) return sender.workspace;
    }
    throw new RangeError("Cannot choose a sender: no sender has a weight");
  }
}

function rateOf(source: Source, phase: Phase): number {
  const factor = phase.factors?.[source.class] ?? phase.factor;
  return source.requestsPerSecond * factor;
}

/** Moments of one source in one phase, in milliseconds after the phase's start. */
function moments(source: Source, phase: Phase, chance: Chance): number[] {
  const rate = rateOf(source, phase);
  if (rate <= 0) return [];
  const size = source.clustering?.size ?? 1;
  const withinMs = source.clustering?.withinMs ?? 0;
  const gapMs = (size * MILLIS) / rate;
  const endMs = phase.seconds * MILLIS;
  const found: number[] = [];
  let at = source.clustering?.periodic ? 0 : chance.exponential(gapMs);
  while (at < endMs) {
    for (let i = 0; i < size; i++) {
      found.push(at + (withinMs === 0 ? 0 : chance.uniform() * withinMs));
    }
    at += source.clustering?.periodic ? gapMs : chance.exponential(gapMs);
  }
  return found.filter((moment) => moment < endMs);
}

function arrivalsOf(
  source: Source,
  seed: number,
  phases: readonly Phase[],
): Omit<Arrival, "index">[] {
  const chance = new Chance(seed, source.class);
  const found: Omit<Arrival, "index">[] = [];
  let startMs = 0;
  for (const phase of phases) {
    for (const moment of moments(source, phase, chance)) {
      found.push({
        atMs: startMs + moment,
        phase: phase.name,
        class: source.class,
        workspace: chance.sender(source.senders),
        service: source.service,
        ...(source.model === undefined ? {} : { model: source.model }),
        promptTokens: chance.length(source.prompt),
        outputTokens: chance.length(source.output),
        prefix: Math.floor((1 - chance.uniform()) * source.prefixes),
        streamed: source.streamed,
        repeatable: source.repeatable,
      });
    }
    startMs += phase.seconds * MILLIS;
  }
  return found;
}

/**
 * Makes the requests of a mix over phases, in order of time. Each source has
 * its own random numbers, so a change of one leaves the others as they were.
 *
 * @example
 * ```ts
 * const sent = arrivals(COOPERATIVE, {
 *   seed: 1,
 *   phases: [{ name: "calm", seconds: 10, factor: 1 }],
 * });
 * ```
 */
export function arrivals(
  mix: Mix,
  options: { readonly seed: number; readonly phases: readonly Phase[] },
): readonly Arrival[] {
  return mix.sources
    .flatMap((source) => arrivalsOf(source, options.seed, options.phases))
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ index, ...arrival }));
}
