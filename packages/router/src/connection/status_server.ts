/**
 * Readiness for the balancer and metrics for collectors.
 *
 * @module
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Lifecycle } from "../process/lifecycle.ts";
import type { RequestMetrics } from "../process/metrics.ts";

/** Answers 200 while the daemon is ready, and 503 with what is missing. */
export function createReadinessServer(
  path: string,
  lifecycle: Lifecycle,
): Server {
  return createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end();
      return;
    }
    const missing = lifecycle.missing();
    response.writeHead(missing.length === 0 ? 200 : 503);
    response.end(missing.join("\n"));
  });
}

/** Serves the measures of the daemon. */
export function createMetricsServer(
  path: string,
  metrics: RequestMetrics,
): Server {
  return createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end();
      return;
    }
    metrics.text().then(
      (text) => response.writeHead(200).end(text),
      (error) => response.writeHead(500).end(String(error)),
    );
  });
}
