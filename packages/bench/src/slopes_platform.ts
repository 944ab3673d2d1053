/**
 * The stand-in platform of a measurement.
 *
 * @module
 */
import { startStandIn } from "@umbermast/testing";

const STOP_GRACE_MS = 1_000;

/** Runs a measurement with a platform that is stopped however it ends. */
export async function withPlatform<T>(
  run: (url: string) => Promise<T>,
): Promise<T> {
  const platform = await startStandIn("platform", {});
  try {
    return await run(platform.url);
  } finally {
    await platform.stop(STOP_GRACE_MS);
  }
}
