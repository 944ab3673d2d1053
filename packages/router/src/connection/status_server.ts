/**
 * HTTP servers for readiness and metrics.
 *
 * @module
 */
import type { RequestListener, Server } from "node:http";
import type { Lifecycle } from "../process/lifecycle.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { createSerialServer } from "./serial_server.ts";

/** Limits of each server: it has a few clients, which send short heads. */
const LIMITS = { connections: 16, heldBytes: 512 * 1024 };
/** Time in ms for a request to arrive. */
const REQUEST_TIMEOUT_MS = 5_000;

function createStatusServer(serve: RequestListener): Server {
  return createSerialServer({
    headersTimeout: REQUEST_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  }, { pool: new ConnectionPool(LIMITS), serve });
}

/**
 * Responds 200 while the daemon is ready, otherwise 503 with the unmet
 * requirements.
 */
export function createReadinessServer(
  path: string,
  lifecycle: Lifecycle,
): Server {
  return createStatusServer((request, response) => {
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
  return createStatusServer((request, response) => {
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
