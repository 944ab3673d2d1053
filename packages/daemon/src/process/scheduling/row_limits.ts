/**
 * Enforcement of the limits of the table's rows: requests per second, tokens per
 * second and requests in flight.
 *
 * @module
 */
import type { Row } from "@umbermast/table";

/** Capacity of a row's token buckets, in seconds at the row's rate. */
const BURST_SECONDS = 1;
const MS_PER_SECOND = 1_000;

/** Token buckets and requests in flight of one row. */
interface RowUsage {
  requests: number;
  tokens: number;
  refilledAt: number;
  inFlight: number;
}

/** Applies each row's rate limits (token buckets) and limit of requests in flight. */
export class RowLimits {
  readonly #usage = new Map<string, RowUsage>();

  /** Whether the row may start a request now. */
  admits(row: Row | undefined, now: number): boolean {
    if (row === undefined) return true;
    const usage = this.#usageOf(row, now);
    if (row.inFlight !== undefined && usage.inFlight >= row.inFlight) {
      return false;
    }
    // Tokens may become negative by the cost of the last request, so that a
    // request that costs more than the burst can start at all.
    return usage.requests >= 1 && usage.tokens > 0;
  }

  /** Charges a request that starts. */
  start(
    row: Row | undefined,
    charge: { readonly cost: number; readonly now: number },
  ): void {
    if (row === undefined) return;
    const usage = this.#usageOf(row, charge.now);
    usage.requests -= 1;
    usage.tokens -= charge.cost;
    usage.inFlight += 1;
  }

  /** Counts a request that another broker started, without charging it. */
  adopt(row: Row | undefined, now: number): void {
    if (row === undefined) return;
    this.#usageOf(row, now).inFlight += 1;
  }

  /** Records the end of a request and charges the excess over its estimate. */
  end(
    key: { readonly workspace: string; readonly class: string },
    excessCost: number,
  ): void {
    const usage = this.#usage.get(keyOf(key));
    if (usage === undefined) return;
    usage.inFlight = Math.max(0, usage.inFlight - 1);
    usage.tokens -= excessCost;
  }

  /** Number of a row's requests in flight. */
  inFlight(
    key: { readonly workspace: string; readonly class: string },
  ): number {
    return this.#usage.get(keyOf(key))?.inFlight ?? 0;
  }

  #usageOf(row: Row, now: number): RowUsage {
    const key = keyOf(row);
    let usage = this.#usage.get(key);
    if (usage === undefined) {
      usage = {
        requests: burstOf(row.requestsPerSecond),
        tokens: burstOf(row.tokensPerSecond),
        refilledAt: now,
        inFlight: 0,
      };
      this.#usage.set(key, usage);
      return usage;
    }
    const seconds = Math.max(0, now - usage.refilledAt) / MS_PER_SECOND;
    usage.refilledAt = now;
    usage.requests = refill(usage.requests, seconds, row.requestsPerSecond);
    usage.tokens = refill(usage.tokens, seconds, row.tokensPerSecond);
    return usage;
  }
}

function keyOf(
  key: { readonly workspace: string; readonly class: string },
): string {
  return `${key.class}\n${key.workspace}`;
}

/**
 * Capacity of a bucket; at least 1, so that a row with a limit of less than one
 * request per second can start requests.
 */
function burstOf(rate: number | undefined): number {
  return rate === undefined ? Infinity : Math.max(1, rate * BURST_SECONDS);
}

function refill(
  remaining: number,
  seconds: number,
  rate: number | undefined,
): number {
  if (rate === undefined) return Infinity;
  // A row that had no limit before starts with a full bucket.
  if (remaining === Infinity) return burstOf(rate);
  return Math.min(burstOf(rate), remaining + seconds * rate);
}
