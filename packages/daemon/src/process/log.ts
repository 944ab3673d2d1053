/**
 * Interface of the daemon's structured log.
 *
 * @module
 */
import type { Fields } from "@umbermast/router/line";

export type { Fields };

/** Writes one line of key=value pairs for each event. */
export interface Log {
  /** An ordinary event. `name` is stable, in snake_case. */
  event(name: string, fields: Fields): void;
  /** A routing or placement decision; recent ones are kept for `umbermastctl why`. */
  decision(name: string, fields: Fields & { readonly requestId: string }): void;
  /** A warning for operators. `code` is listed in docs/codes.md. */
  warning(code: string, fields: Fields): void;
}
