/**
 * Handles reports of holders, for the limits that this process owns.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import type { Clock } from "./clock.ts";
import type { ShareTimes } from "./share_holding.ts";
import { ShareLedger } from "./share_ledger.ts";
import { decodeReport } from "./share_message.ts";
import type {
  GrantResponse,
  LimitOffer,
  OwnerTimestamp,
} from "./share_message.ts";

const OWNER_ID_BYTES = 9;
/**
 * Number of reports between two removals of limits that no process holds any
 * more.
 */
const SWEEP_INTERVAL_REPORTS = 1_000;

/** Ledgers of the limits for which this process has received reports. */
export class ShareOwner {
  readonly #id = randomBytes(OWNER_ID_BYTES).toString("base64url");
  readonly #clock: Clock;
  readonly #times: ShareTimes;
  readonly #ledgers = new Map<string, ShareLedger>();
  #reports = 0;

  constructor(clock: Clock, times: ShareTimes) {
    this.#clock = clock;
    this.#times = times;
  }

  /** Handles one report; returns undefined if it is not valid. */
  handleReport(message: unknown): GrantResponse | undefined {
    const report = decodeReport(message);
    if (report === undefined) return undefined;
    const now = this.#clock.monotonic();
    const sentAfter = this.#sentAfter(report.stamp, now);
    const grants = report.offers.map((offer) =>
      this.#ledger(offer).processOffer(
        sentAfter === undefined ? offer : { ...offer, sentAfter },
        now,
      )
    );
    this.#sweep(now);
    return { stamp: { owner: this.#id, at: now }, grants };
  }

  /**
   * Returns a time before which the report cannot have been sent. Only a
   * timestamp issued by this process refers to its clock.
   */
  #sentAfter(
    stamp: OwnerTimestamp | undefined,
    now: number,
  ): number | undefined {
    if (stamp?.owner !== this.#id || stamp.at > now) return undefined;
    return stamp.at;
  }

  #ledger(offer: LimitOffer): ShareLedger {
    const known = this.#ledgers.get(offer.limit);
    if (known !== undefined) return known;
    const ledger = new ShareLedger(this.#times);
    this.#ledgers.set(offer.limit, ledger);
    return ledger;
  }

  #sweep(now: number): void {
    this.#reports += 1;
    if (this.#reports % SWEEP_INTERVAL_REPORTS !== 0) return;
    for (const [limit, ledger] of this.#ledgers) {
      if (ledger.isIdle(now)) this.#ledgers.delete(limit);
    }
  }
}
