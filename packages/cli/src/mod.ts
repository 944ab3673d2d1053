/**
 * The command line of umbermast, for use from other programs.
 *
 * @module
 */
export { runCli } from "./cli.ts";
export { EXIT_CODE } from "./process/exit_codes.ts";
export type { ExitCode } from "./process/exit_codes.ts";
export { PROCESS_IO } from "./process/io.ts";
export type { Io } from "./process/io.ts";
export { HttpOperators } from "./process/operators.ts";
export type { OperatorFailure, Operators } from "./process/operators.ts";
export { offerVersion } from "./request/offer.ts";
