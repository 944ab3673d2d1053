/**
 * HTTP servers for readiness and metrics.
 *
 * @module
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Lifecycle } from "../process/lifecycle.ts";
import type { RequestMetrics } from "../process/metrics.ts";

/**
 * Responds 200 while the daemon is ready, otherwise 503 with the unmet
 * requirements.
 */
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

/** Serves the daemon's metrics. */
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
