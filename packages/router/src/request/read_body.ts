/**
 * Reads message bodies completely before they are processed.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { BodyBlocks } from "./body_blocks.ts";

/** A complete body, or why there is none. */
export type BodyResult =
  | { readonly kind: "complete"; readonly body: Buffer }
  | IncompleteBody;

/** Why there is no complete body. */
export type IncompleteBody =
  | { readonly kind: "too-large" }
  /** There is no room to hold the body. */
  | { readonly kind: "no-room" }
  | { readonly kind: "broken"; readonly reason: string };

/** The bytes of a complete body, or why there is none. */
export type BlocksResult =
  | { readonly kind: "complete"; readonly blocks: BodyBlocks }
  | IncompleteBody;

/** Limits of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /**
   * Called with the bytes that the body takes or states, and those that have arrived;
   * returns false if there is no room for it.
   */
  readonly reserve?: ((size: number, arrived: number) => boolean) | undefined;
}

/** Returns the size that a message states for its body, if it states one. */
function statedSize({ headers }: IncomingMessage): number | undefined {
  const length = headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

/** Reads a message to its end. A truncated message never counts as complete. */
export async function readBody(
  incoming: IncomingMessage,
  limits: BodyLimits,
): Promise<BodyResult> {
  const received = await readBlocks(incoming, limits);
  if (received.kind !== "complete") return received;
  return { kind: "complete", body: received.blocks.join() };
}

/** Like {@linkcode readBody}, without joining what has arrived. */
export function readBlocks(
  incoming: IncomingMessage,
  { maxBytes, reserve }: BodyLimits,
): Promise<BlocksResult> {
  if (reserve !== undefined) {
    const stated = statedSize(incoming) ?? 0;
    if (stated > maxBytes) return Promise.resolve({ kind: "too-large" });
    if (!reserve(stated, 0)) return Promise.resolve({ kind: "no-room" });
  }
  if (incoming.destroyed) {
    return Promise.resolve({ kind: "broken", reason: "connection closed" });
  }
  return new Promise((resolve) => {
    const blocks = new BodyBlocks();
    // Reads on without keeping anything, as the caller may read only after it has sent.
    const reject = (kind: "too-large" | "no-room") => {
      incoming.off("data", add).resume();
      blocks.clear();
      resolve({ kind });
    };
    const add = (chunk: Buffer) => {
      if (blocks.length + chunk.length > maxBytes) return reject("too-large");
      blocks.add(chunk);
      if (reserve?.(blocks.heldBytes, blocks.length) === false) {
        reject("no-room");
      }
    };
    incoming.on("data", add);
    incoming.on("end", () => {
      if (!incoming.complete) {
        return resolve({
          kind: "broken",
          reason: "incomplete message",
        });
      }
      resolve({ kind: "complete", blocks });
    });
    incoming.on("error", (error) => {
      resolve({ kind: "broken", reason: error.message });
    });
    incoming.on(
      "close",
      () => resolve({ kind: "broken", reason: "connection closed" }),
    );
  });
}
