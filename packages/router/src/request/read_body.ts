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
  | { readonly kind: "too-large" }
  | { readonly kind: "broken"; readonly reason: string };

/** Reads a message to its end. A truncated message never counts as complete. */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) return resolve({ kind: "too-large" });
      chunks.push(chunk);
    });
    incoming.on("end", () => {
      if (!incoming.complete) {
        return resolve({
          kind: "broken",
          reason: "incomplete message",
        });
      }
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      resolve({ kind: "complete", body });
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
