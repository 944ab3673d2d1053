#!/usr/bin/env node
/**
 * The `umbermastctl` program.
 *
 * @module
 */
import process from "node:process";
import { runCli } from "./cli.ts";
import { PROCESS_IO } from "./process/io.ts";

process.exitCode = await runCli(process.argv.slice(2), PROCESS_IO);
