/**
 * Small JSON calls to stand-ins and operators' ports.
 *
 * @module
 */
import { request } from "node:http";

/** Answer to a JSON call. */
export interface JsonAnswer {
  readonly status: number;
  /** `undefined` when the body is not JSON. */
  readonly body: unknown;
}

const LIMIT_MS = 5000;

/** Calls with a JSON body on a connection of its own; fails after 5 s. */
export function fetchJson(
  url: string,
  options: {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
  } = {},
): Promise<JsonAnswer> {
  return new Promise((resolve, reject) => {
    const call = request(url, {
      method: options.method ?? "GET",
      headers: { ...options.headers, "content-type": "application/json" },
      agent: false,
      timeout: LIMIT_MS,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        resolve({ status: response.statusCode ?? 0, body: parse(text) });
      });
    });
    call.on("error", reject);
    call.on("timeout", () => {
      call.destroy(new Error(`Cannot reach ${url}: timeout`));
    });
    const { body } = options;
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
