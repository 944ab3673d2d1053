/**
 * Runners that answer `GET /load` and nothing else.
 *
 * @module
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import type { Part } from "./slopes_part.ts";

const ADDRESS = "127.0.0.1";
const REPORT = JSON.stringify({
  at: 0,
  running: 0,
  waiting: 0,
  slots: 1_000,
  stepMs: 10,
  kvUsed: 0,
  kvTotal: 1_000_000,
  models: ["model-1"],
  role: "both",
  leaving: false,
  incarnation: 1,
});

/** What this part is made from. */
export interface RunnersConfig {
  readonly count: number;
}

/** What this part tells of itself. */
export interface RunnersInfo {
  readonly ports: readonly number[];
}

function startRunner(): Promise<number> {
  const server = http.createServer((_request, response) => {
    response.setHeader("content-type", "application/json");
    response.end(REPORT);
  });
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(0, ADDRESS, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Starts the runners of a process. */
export async function makePart(config: unknown): Promise<Part> {
  const { count } = config as RunnersConfig;
  const ports: number[] = [];
  for (let i = 0; i < count; i++) ports.push(await startRunner());
  const info: RunnersInfo = { ports };
  return { info, call: () => Promise.resolve() };
}
