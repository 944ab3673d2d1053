/**
 * Runners of the service that tests schedule.
 *
 * @module
 */
import type { Runner } from "../../src/process/runner.ts";

export const SERVICE = "drafting-llm";

export function runnerOf(name: string, fields: Partial<Runner> = {}): Runner {
  return {
    name,
    service: SERVICE,
    address: "127.0.0.1",
    port: 1,
    region: "kingston",
    failureDomain: "portmore",
    state: "live",
    incarnation: 1,
    ...fields,
  };
}
