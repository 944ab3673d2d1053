/**
 * Reads message bodies completely before they are processed.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

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

/** The chunks of a complete body, or why there is none. */
export type ChunksResult =
  | { readonly kind: "complete"; readonly chunks: readonly Buffer[] }
  | IncompleteBody;

/** Limits of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /**
   * Called with the size that the body has or states; returns false if there is no
   * room for it.
   */
  readonly reserve?: ((size: number) => boolean) | undefined;
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
  const received = await readChunks(incoming, limits);
  if (received.kind !== "complete") return received;
  const { chunks } = received;
  const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  return { kind: "complete", body };
}

/** Like {@linkcode readBody}, without joining the chunks. */
export function readChunks(
  incoming: IncomingMessage,
  { maxBytes, reserve }: BodyLimits,
): Promise<ChunksResult> {
  if (reserve !== undefined) {
    const stated = statedSize(incoming) ?? 0;
    if (stated > maxBytes) return Promise.resolve({ kind: "too-large" });
    if (!reserve(stated)) return Promise.resolve({ kind: "no-room" });
  }
  if (incoming.destroyed) {
    return Promise.resolve({ kind: "broken", reason: "connection closed" });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) return resolve({ kind: "too-large" });
      if (reserve?.(size) === false) return resolve({ kind: "no-room" });
      chunks.push(chunk);
    });
    incoming.on("end", () => {
      if (!incoming.complete) {
        return resolve({
          kind: "broken",
          reason: "incomplete message",
        });
      }
      resolve({ kind: "complete", chunks });
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
