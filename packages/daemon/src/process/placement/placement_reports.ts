/**
 * Engines' reports of their models and load, read in each placement round.
 *
 * @module
 */
import { get } from "node:http";
import * as Effect from "effect/Effect";
import type { Runner } from "../runner.ts";
import type { EngineReport } from "./order_history.ts";

const REPORT_TIMEOUT_MS = 1_000;
const MAX_BODY_BYTES = 64_000;

/** Source of engines' reports. */
export interface EngineReports {
  /** Reads a report; `undefined` if the engine does not respond in time. */
  read(runner: Runner): Effect.Effect<EngineReport | undefined>;
}

/** {@linkcode EngineReports} from `GET /load`. */
export class HttpEngineReports implements EngineReports {
  read(runner: Runner): Effect.Effect<EngineReport | undefined> {
    return Effect.callback((resume) => {
      const finish = (report?: EngineReport) => resume(Effect.succeed(report));
      const call = get({
        host: runner.address,
        port: runner.port,
        path: "/load",
        agent: false,
        signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
      }, (response) => {
        const chunks: Uint8Array[] = [];
        let bytes = 0;
        response.on("data", (chunk: Uint8Array) => {
          bytes += chunk.length;
          if (bytes > MAX_BODY_BYTES) call.destroy();
          chunks.push(chunk);
        });
        response.on("error", () => finish());
        response.on("end", () => finish(parseEngineReport(chunks)));
      });
      call.on("error", () => finish());
      call.on("close", () => finish());
      return Effect.sync(() => call.destroy());
    });
  }
}

function parseEngineReport(
  chunks: readonly Uint8Array[],
): EngineReport | undefined {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const { models, running, waiting, leaving } = value as Partial<
    Record<string, unknown>
  >;
  if (!Array.isArray(models)) return undefined;
  return {
    models: models.filter((model) => typeof model === "string"),
    requests: countOf(running) + countOf(waiting),
    leaving: leaving === true,
  };
}

function countOf(value: unknown): number {
  return typeof value === "number" && value > 0 ? value : 0;
}
