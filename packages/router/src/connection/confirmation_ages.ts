/**
 * Confirmations of the store as daemons send them: with ages instead of times.
 *
 * @module
 */
import type {
  ConfirmationAge,
  Confirmed,
  StoreConfirmations,
} from "../process/store_confirmations.ts";
import { ageOf } from "./crash_ages.ts";
import type { ConfirmationAges, Versions } from "./peer_message.ts";

/** The latest confirmations, for a message that is sent now. */
export function toConfirmationAges(confirmed: Confirmed): ConfirmationAges {
  const { configuration, runners } = confirmed;
  return { configuration: toAge(configuration), runners: toAge(runners) };
}

/**
 * Records when the store confirmed the versions of a peer, where this daemon has the
 * same or newer ones.
 */
export function recordConfirmationAges(
  confirmed: Confirmed,
  ages: ConfirmationAges,
  { own, theirs }: { readonly own: Versions; readonly theirs: Versions },
): void {
  if (own.configuration >= theirs.configuration) {
    recordAge(confirmed.configuration, ages.configuration);
  }
  if (own.runners >= theirs.runners) recordAge(confirmed.runners, ages.runners);
}

/** Sends each confirmation once to a group of neighbours. */
export class ConfirmationOutbox {
  #sent: ConfirmationAges = { configuration: undefined, runners: undefined };

  /** The confirmations that are newer than those of the last call. */
  take(confirmed: Confirmed): ConfirmationAges {
    const latest = toConfirmationAges(confirmed);
    const { configuration, runners } = this.#sent;
    this.#sent = latest;
    return {
      configuration: unlessSame(latest.configuration, configuration),
      runners: unlessSame(latest.runners, runners),
    };
  }
}

function unlessSame(
  latest: ConfirmationAge | undefined,
  sent: ConfirmationAge | undefined,
): ConfirmationAge | undefined {
  const same = latest?.origin === sent?.origin &&
    latest?.sequence === sent?.sequence;
  return same ? undefined : latest;
}

function toAge(confirmations: StoreConfirmations): ConfirmationAge | undefined {
  const { latest } = confirmations;
  if (latest === undefined) return undefined;
  const { origin, sequence, at } = latest;
  return { origin, sequence, agoMs: ageOf(at, performance.now()) };
}

function recordAge(
  confirmations: StoreConfirmations,
  age: ConfirmationAge | undefined,
): void {
  if (age === undefined) return;
  const { origin, sequence, agoMs } = age;
  confirmations.record({ origin, sequence, at: performance.now() - agoMs });
}
