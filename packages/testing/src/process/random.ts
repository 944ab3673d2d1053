/**
 * Seeded chance.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Gives numbers from 0 to below 1; the same seed gives the same numbers. */
export function seededRandom(seed: string): () => number {
  const digest = createHash("sha256").update(seed).digest();
  const generator = xoroshiro128plus(digest.readInt32LE(0));
  return () => uniformFloat64(generator);
}
