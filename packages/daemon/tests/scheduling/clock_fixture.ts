/**
 * A clock for tests of the scheduler.
 *
 * @module
 */
import { FakeClock } from "@umbermast/coordination/testing";

/** A clock that tests move; it starts late enough to look back from. */
export function clockOf(): FakeClock {
  return new FakeClock({ at: 1_000_000 });
}
