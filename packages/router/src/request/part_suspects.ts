/**
 * The parts of a request's prompt that may be to blame for crashes.
 *
 * @module
 */
import { partSuspect } from "../process/suspect.ts";
import type { Suspect } from "../process/suspect.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Maximum number of parts of a prompt that are suspect: a caller must not decide how
 * much of the crash record one request takes.
 */
const MAX_PARTS = 8;

/**
 * Returns the suspects for the parts that other prompts may share: all but the last.
 * Of a long prompt the deepest ones count, as what begins it is shared by most.
 */
export function partSuspects(
  { head: { prompt }, service }: Pick<RoutedRequest, "head" | "service">,
): readonly Suspect[] {
  const ids = prompt.slice(0, -1).slice(-MAX_PARTS).map(({ id }) => id);
  return [...new Set(ids)].map((id) => partSuspect(service.name, id));
}
