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
  runners: () => import("./slopes_part_runners.ts"),
  scheduler: () => import("./slopes_part_scheduler.ts"),
  shares: () => import("./slopes_part_shares.ts"),
};
