/**
 * Combines several digests into one that is piggybacked on heartbeats.
 *
 * @module
 */
import type { Digest } from "./digest.ts";

/**
 * A {@linkcode Digest} of named parts. Parts are added once they exist, which
 * is after the node that sends them has started.
 *
 * @example
 * ```ts
 * const digest = new CompositeDigest();
 * const node = yield* startNode({ ...options, digest });
 * const table = new PublishedValue({ ...parts, peers: node.peers });
 * digest.add("table", table.digest);
 * ```
 */
export class CompositeDigest implements Digest {
  readonly #parts = new Map<string, Digest>();

  /** Adds a part; throws if the name is taken. */
  add(name: string, digest: Digest): void {
    if (this.#parts.has(name)) {
      throw new Error(`Cannot add digest: "${name}" is taken`);
    }
    this.#parts.set(name, digest);
  }

  read(): unknown {
    const values: Record<string, unknown> = {};
    for (const [name, part] of this.#parts) values[name] = part.read();
    return values;
  }

  /** Ignores parts that this process does not have. */
  receive(from: string, digest: unknown): void {
    if (typeof digest !== "object" || digest === null) return;
    for (const [name, part] of this.#parts) {
      if (!Object.hasOwn(digest, name)) continue;
      part.receive(from, (digest as Record<string, unknown>)[name]);
    }
  }
}
