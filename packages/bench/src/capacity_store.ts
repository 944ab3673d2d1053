/**
 * Calls to the platform's store by the whole fleet.
 *
 * @module
 */
import { BUDGET, derive, DESIGN, PLAN } from "./capacity_plan.ts";
import type { SlopesResult } from "./slopes_result.ts";

const ONE_DECIMAL = 1;

function writesOfClaims(result: SlopesResult): string {
  const fit = result.fits.partitionOwner;
  if (fit === undefined) return "not measured yet";
  const { slope, intercept } = fit.lines.storeCalls;
  const each = derive().claimsPerSecond / DESIGN.partitions;
  const perSecond = DESIGN.partitions * (intercept + slope * each);
  const share = perSecond / BUDGET.storeWritesPerSecond;
  return `${perSecond.toFixed(ONE_DECIMAL)} calls/s at ` +
    `${derive().claimsPerSecond} claims/s over ${DESIGN.partitions} ` +
    `partitions, by the line that was measured (${(100 * share).toFixed(0)}% ` +
    `of ${BUDGET.storeWritesPerSecond} writes/s); writes are paced, so that ` +
    `more claims make them larger, not more`;
}

function callsOfWatches(result: SlopesResult): string {
  const fit = result.fits.watcher;
  if (fit === undefined) return "not measured yet";
  const { slope } = fit.lines.storeCalls;
  const each = fit.idle.storeCalls + slope * derive().editsPerSecondBunched;
  const perSecond = derive().watchers * each;
  const share = 100 * perSecond / BUDGET.storeReadsPerSecond;
  return `${perSecond.toFixed(ONE_DECIMAL)} calls/s as measured, ` +
    `${share.toFixed(ONE_DECIMAL)}% of ${BUDGET.storeReadsPerSecond} reads/s`;
}

/** A list of the fleet's calls, against the store's rates. */
export function storeLines(result: SlopesResult): string {
  const size = derive();
  return [
    `- Watches on the table: ${size.watchers} wait at any time ` +
    `(${DESIGN.watchersPerFailureDomain} in each of ${PLAN.failureDomains} ` +
    `failure domains), ${callsOfWatches(result)}. They grow with failure ` +
    `domains, not with daemons.`,
    `- Edits: ${size.editsPerSecond.toFixed(3)} writes/s on average, ` +
    `${size.editsPerSecondBunched.toFixed(2)} while people work.`,
    `- Claims: ${writesOfClaims(result)}.`,
    `- Restarts: ${(PLAN.hostRestartsPerDay + PLAN.hostFailuresPerDay)} a ` +
    `day read the table from a peer first; even as reads of the store they ` +
    `would be ${size.membershipChangesPerSecond.toFixed(4)} a second.`,
  ].join("\n");
}
