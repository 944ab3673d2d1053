/**
 * The parts that a process of a measurement can be; each is loaded only there.
 *
 * @module
 */
import type { PartModule } from "./slopes_part.ts";

/** How to load each part. */
export const PARTS: Readonly<Record<string, () => Promise<PartModule>>> = {
  claims: () => import("./slopes_part_claims.ts"),
  members: () => import("./slopes_part_members.ts"),
  published: () => import("./slopes_part_published.ts"),
  shares: () => import("./slopes_part_shares.ts"),
};
