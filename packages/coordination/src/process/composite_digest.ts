/**
 * Several digests that ride on heartbeats together.
 *
 * @module
 */
import type { Digest } from "./digest.ts";

/**
 * A {@linkcode Digest} of named parts. Parts are added when they exist, which is
 * after the node that carries them has started.
 *
 * @example
 * ```ts
 * const board = new DigestBoard();
 * const node = yield* startNode({ ...options, digest: board });
 * const table = new PublishedValue({ ...parts, peers: node.peers });
 * board.add("table", table.digest);
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
    const read: Record<string, unknown> = {};
    for (const [name, part] of this.#parts) read[name] = part.read();
    return read;
  }

  /** Parts that this process does not have are left out. */
  receive(from: string, digest: unknown): void {
    if (typeof digest !== "object" || digest === null) return;
    for (const [name, part] of this.#parts) {
      if (!Object.hasOwn(digest, name)) continue;
      part.receive(from, (digest as Record<string, unknown>)[name]);
    }
  }
}
