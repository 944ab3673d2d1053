/**
 * Finds the resource of a caller's request.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Problem } from "./call.ts";
import { problem } from "./problems.ts";

/** The resource of a request. */
export type Route =
  | { readonly _tag: "Chat" }
  | { readonly _tag: "Models" }
  | {
    readonly _tag: "Service";
    readonly service: string;
    /** Path and query for the runner. */
    readonly path: string;
  };

const CHAT_PATH = "/v1/chat/completions";
const MODELS_PATH = "/v1/models";
const SERVICE = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

function wrongMethod(method: string, needed: string): Problem {
  return problem(
    "method_unsupported",
    `Cannot serve method "${method}": "${needed}" is needed`,
    { place: "method" },
  );
}

function serviceRoute(target: string): Result<Route, Problem> {
  const match = SERVICE.exec(target);
  if (match === null) {
    return err(problem(
      "path_unknown",
      `Cannot serve path "${
        target.split("?")[0]
      }": expected ${CHAT_PATH}, ${MODELS_PATH} or /services/SERVICE/PATH`,
      { place: "path" },
    ));
  }
  const [, service, path, query] = match;
  return ok({
    _tag: "Service",
    service: service!,
    path: `${path ?? "/"}${query ?? ""}`,
  });
}

/** Finds the resource of a request by its method and target. */
export function routeOf(
  method: string,
  target: string,
): Result<Route, Problem> {
  const path = target.split("?", 1)[0];
  if (path === CHAT_PATH) {
    if (method !== "POST") return err(wrongMethod(method, "POST"));
    return ok({ _tag: "Chat" });
  }
  if (path === MODELS_PATH) {
    if (method !== "GET") return err(wrongMethod(method, "GET"));
    return ok({ _tag: "Models" });
  }
  return serviceRoute(target);
}
