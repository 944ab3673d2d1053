/**
 * Builds calls from callers' requests.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Service } from "@umbermast/table";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { TableVersion } from "../version/table_feed.ts";
import type { Call, Header, Problem } from "./call.ts";
import type { CallerHead } from "./caller_head.ts";
import { parseChatBody } from "./chat_body.ts";
import { requestHeaders } from "./end_to_end_headers.ts";
import { problem } from "./problems.ts";
import type { Route } from "./route.ts";

/** Idempotent methods (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
  "TRACE",
]);

/** A request whose head has been parsed and whose body has not. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly headers: readonly Header[];
  readonly head: CallerHead;
  /** Epoch milliseconds of arrival. */
  readonly arrivedAt: number;
}

/** Builds the fields that all calls have. */
function commonFields({ requestId, method, head, arrivedAt }: CallerRequest) {
  return {
    requestId,
    method,
    workspace: head.workspace.name,
    class: head.class,
    tier: head.tier,
    arrivedAt,
    deadline: arrivedAt + head.timeoutMs,
    ...(head.idempotencyKey === undefined
      ? {}
      : { idempotencyKey: head.idempotencyKey }),
  };
}

/** Builds the call of a chat completion. */
export function chatCall(
  request: CallerRequest,
  options: { readonly table: TableVersion; readonly body: Uint8Array },
): Result<Call, Problem> {
  const parameters = parseChatBody(options.body);
  if (parameters.isErr()) return err(parameters.error);
  const service = options.table.servicesByModel.get(parameters.value.model);
  if (service === undefined) {
    const message =
      `Cannot find model "${parameters.value.model}": no service has it`;
    return err(problem("model_unknown", message, { place: "body/model" }));
  }
  // Engines respond uncompressed, so that the end of a response can be checked.
  const headers = requestHeaders(request.headers)
    .filter(({ name }) => name !== "accept-encoding");
  return ok({
    ...commonFields(request),
    ...parameters.value,
    service: service.name,
    path: "/v1/chat/completions",
    headers,
    body: options.body,
    repeatable: request.head.repeatable ?? true,
  });
}

/** Finds the plain service of a route. */
export function findPlainService(
  table: TableVersion,
  name: string,
): Result<Service, Problem> {
  const service = table.servicesByName.get(name);
  if (service?.kind === "plain") return ok(service);
  const reason = service === undefined
    ? "the table has no such service"
    : "it is a model service, reached at /v1/chat/completions";
  const message = `Cannot call service "${name}": ${reason}`;
  return err(problem("service_unknown", message, { place: "path" }));
}

/** Builds a call to a plain service. */
export function serviceCall(
  request: CallerRequest,
  options: {
    readonly route: Extract<Route, { readonly _tag: "Service" }>;
    readonly body: Uint8Array;
  },
): Call {
  return {
    ...commonFields(request),
    service: options.route.service,
    path: options.route.path,
    headers: requestHeaders(request.headers),
    body: options.body,
    streamed: false,
    repeatable: request.head.repeatable ??
      IDEMPOTENT_METHODS.has(request.method),
    promptTokens: 0,
  };
}

const JSON_TYPE = /^application\/json *(;|$)/i;

/** Checks by the headers that a body is uncompressed JSON. */
export function checkJsonType(
  request: IncomingMessage,
): Result<void, Problem> {
  const type = request.headers["content-type"];
  if (type === undefined || !JSON_TYPE.test(type)) {
    return err(problem(
      "content_type_unsupported",
      `Cannot read the body: expected content-type "application/json", got "${
        type ?? "none"
      }"`,
      { place: "header/content-type" },
    ));
  }
  const encoding = request.headers["content-encoding"];
  if (encoding === undefined || encoding === "identity") return ok(undefined);
  return err(problem(
    "content_type_unsupported",
    `Cannot read the body: content-encoding "${encoding}" is not supported`,
    { place: "header/content-encoding" },
  ));
}
