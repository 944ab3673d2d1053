/**
 * Limits of the table's rows: requests a second, tokens a second, in flight.
 *
 * @module
 */
import type { Row } from "@umbermast/table";

/** Seconds of unused allowance that a row may save up. */
const BURST_SECONDS = 1;
const MS_PER_SECOND = 1_000;

/** What a row has used. */
interface Usage {
  requests: number;
  tokens: number;
  refilledAt: number;
  inFlight: number;
}

/** Counts what each row has started and allows what its limits leave. */
export class RowLimits {
  readonly #usage = new Map<string, Usage>();

  /** Whether the row may start a request now. */
  admits(row: Row | undefined, now: number): boolean {
    if (row === undefined) return true;
    const usage = this.#usageOf(row, now);
    if (row.inFlight !== undefined && usage.inFlight >= row.inFlight) {
      return false;
    }
    // Tokens go into debt by the last request's cost, so that a request that
    // costs more than the burst can start at all.
    return usage.requests >= 1 && usage.tokens > 0;
  }

  /** Charges a start. */
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

  /** Counts a request that another broker started. */
  adopt(row: Row | undefined, now: number): void {
    if (row === undefined) return;
    this.#usageOf(row, now).inFlight += 1;
  }

  /** Settles an end: the cost in excess of the charge, or less than it. */
  end(
    key: { readonly workspace: string; readonly class: string },
    excessCost: number,
  ): void {
    const usage = this.#usage.get(keyOf(key));
    if (usage === undefined) return;
    usage.inFlight = Math.max(0, usage.inFlight - 1);
    usage.tokens -= excessCost;
  }

  /** Requests of a row in flight. */
  inFlight(
    key: { readonly workspace: string; readonly class: string },
  ): number {
    return this.#usage.get(keyOf(key))?.inFlight ?? 0;
  }

  #usageOf(row: Row, now: number): Usage {
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

/** At least one, so that a row of less than one request a second can start. */
function burstOf(rate: number | undefined): number {
  return rate === undefined ? Infinity : Math.max(1, rate * BURST_SECONDS);
}

function refill(
  remaining: number,
  seconds: number,
  rate: number | undefined,
): number {
  if (rate === undefined) return Infinity;
  // A row that had no limit so far starts with a full burst.
  if (remaining === Infinity) return burstOf(rate);
  return Math.min(burstOf(rate), remaining + seconds * rate);
}
