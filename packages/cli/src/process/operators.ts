/**
 * The daemons' operators' ports.
 *
 * @module
 */
import { request } from "node:http";
import * as Effect from "effect/Effect";

const TIMEOUT_MS = 3_000;
const MAX_BODY_BYTES = 32_000_000;

/** A daemon did not give a usable answer. */
export interface OperatorFailure {
  readonly _tag: "OperatorFailure";
  readonly url: string;
  /** HTTP status, when there was an answer. */
  readonly status?: number;
  readonly reason: string;
}

/** Asks daemons at their operators' ports. */
export interface Operators {
  /** Gets a resource, such as `/status`, of the daemon at a root URL. */
  get(url: string, path: string): Effect.Effect<unknown, OperatorFailure>;
  /** Posts JSON to a resource of the daemon at a root URL. */
  post(
    url: string,
    message: { readonly path: string; readonly body: unknown },
  ): Effect.Effect<unknown, OperatorFailure>;
}

/** {@linkcode Operators} over HTTP. */
export class HttpOperators implements Operators {
  readonly #token: string | undefined;

  constructor(token: string | undefined) {
    this.#token = token;
  }

  get(url: string, path: string): Effect.Effect<unknown, OperatorFailure> {
    return this.#call(url, { method: "GET", path });
  }

  post(
    url: string,
    message: { readonly path: string; readonly body: unknown },
  ): Effect.Effect<unknown, OperatorFailure> {
    const { path, body } = message;
    return this.#call(url, { method: "POST", path, body });
  }

  #call(
    url: string,
    message: {
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body?: unknown;
    },
  ): Effect.Effect<unknown, OperatorFailure> {
    const { method, path } = message;
    const content = message.body === undefined
      ? undefined
      : JSON.stringify(message.body);
    const headers = {
      ...(this.#token === undefined
        ? {}
        : { authorization: `Bearer ${this.#token}` }),
      ...(content === undefined ? {} : {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(content),
      }),
    };
    return Effect.callback((resume) => {
      const fail = (reason: string, status?: number) =>
        resume(Effect.fail<OperatorFailure>({
          _tag: "OperatorFailure",
          url,
          reason,
          ...(status === undefined ? {} : { status }),
        }));
      const target = new URL(path, url);
      // A daemon that is paused accepts and stays silent: bound the whole call.
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const call = request(target, { method, headers, signal }, (response) => {
        const chunks: Uint8Array[] = [];
        let bytes = 0;
        response.on("data", (chunk: Uint8Array) => {
          bytes += chunk.length;
          chunks.push(chunk);
          if (bytes > MAX_BODY_BYTES) {
            call.destroy(new Error("Answer too long"));
          }
        });
        response.on("error", (error) => fail(error.message));
        response.on("end", () => {
          const text = Buffer.concat(chunks).toString("utf8");
          const status = response.statusCode ?? 0;
          if (status !== 200) return fail(`HTTP status ${status}`, status);
          resume(parsed(text, url));
        });
      });
      call.on("error", (error) =>
        fail(
          signal.aborted ? `No answer in ${TIMEOUT_MS} ms` : error.message,
        ));
      call.end(content);
      return Effect.sync(() => call.destroy());
    });
  }
}

function parsed(
  text: string,
  url: string,
): Effect.Effect<unknown, OperatorFailure> {
  try {
    return Effect.succeed(JSON.parse(text));
  } catch {
    return Effect.fail({
      _tag: "OperatorFailure",
      url,
      reason: "The answer is not JSON",
    });
  }
}
