/**
 * Runners of the service that tests schedule.
 *
 * @module
 */
import type { Runner } from "../../src/process/runner.ts";
import { runnerAt } from "../runner_fixture.ts";

export const SERVICE = "drafting-llm";

export function runnerOf(name: string, fields: Partial<Runner> = {}): Runner {
  return { ...runnerAt(name, 1), service: SERVICE, ...fields };
}
