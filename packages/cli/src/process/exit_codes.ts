/**
 * Exit codes of `umbermastctl`.
 *
 * @module
 */

/** What the exit code says. */
export const EXIT_CODE = {
  /** Done, or nothing to do. */
  ok: 0,
  /** The command could not do what was asked. */
  failure: 1,
  /** Wrong flags, settings or input; nothing was sent. */
  usage: 2,
  /** Someone else changed the same entry; nothing was changed. */
  conflict: 3,
  /** The platform or a daemon could not be reached. */
  unreachable: 4,
  /** An edit may or may not have been accepted; resolve it by its id. */
  unknown: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
