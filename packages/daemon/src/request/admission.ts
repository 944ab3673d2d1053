/**
 * Admits or refuses requests by their heads, and builds calls of admitted ones.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { TableVersion } from "../version/table_feed.ts";
import type { Header, Problem } from "./call.ts";
import {
  chatCall,
  checkJsonType,
  findPlainService,
  serviceCall,
} from "./call_parser.ts";
import type { CallerRequest } from "./call_parser.ts";
import type { Call } from "./call.ts";
import { readCallerHead } from "./caller_head.ts";
import { problem } from "./problems.ts";
import { routeOf } from "./route.ts";
import type { Route } from "./route.ts";

/** A request as received, before any check. */
export interface ArrivedRequest {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly headers: readonly Header[];
  /** Whether an earlier response on the same connection is still open. */
  readonly pipelined: boolean;
  /** Whether the limit of concurrent requests was reached on arrival. */
  readonly overLimit: boolean;
  /** Epoch milliseconds. */
  readonly arrivedAt: number;
}

/** A request whose head is valid and whose body has not been read. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly table: TableVersion;
  readonly callerRequest: CallerRequest;
}

const CONTINUE = /^100-continue$/i;

/** Checks pipelining, the HTTP version, expectations and transfer codings. */
function checkProtocol(
  { request, pipelined }: ArrivedRequest,
): Result<void, Problem> {
  if (pipelined) {
    // Responses on one connection are sent in order, so this one would wait for
    // the end of the previous one, holding a slot and its buffered bytes.
    return err(problem(
      "pipelining_unsupported",
      "Cannot take a request before the answer to the one before it has ended",
    ));
  }
  if (request.httpVersion !== "1.1") {
    return err(problem(
      "http_version_unsupported",
      `Cannot serve HTTP/${request.httpVersion}: HTTP/1.1 is needed`,
      { place: "request-line" },
    ));
  }
  const expectation = request.headers.expect;
  if (expectation !== undefined && !CONTINUE.test(expectation)) {
    return err(problem(
      "expectation_unsupported",
      `Cannot meet expectation "${expectation}": only "100-continue" is supported`,
      { place: "header/expect" },
    ));
  }
  const coding = request.headers["transfer-encoding"];
  if (coding === undefined || coding.toLowerCase() === "chunked") {
    return ok(undefined);
  }
  // With any other coding, the daemon and the runner could disagree on where the
  // body ends, which allows request smuggling.
  return err(problem(
    "transfer_encoding_unsupported",
    `Cannot read transfer-encoding "${coding}": only "chunked" is supported`,
    { place: "header/transfer-encoding" },
  ));
}

function checkRoute(
  route: Route,
  options: { readonly request: IncomingMessage; readonly table: TableVersion },
): Result<unknown, Problem> {
  if (route._tag === "Chat") return checkJsonType(options.request);
  if (route._tag === "Models") return ok(undefined);
  return findPlainService(options.table, route.service);
}

/** Checks the head of a request against the current table. */
export function admit(
  arrival: ArrivedRequest,
  table: TableVersion | undefined,
): Result<AdmittedRequest, Problem> {
  const { request, headers } = arrival;
  const protocol = checkProtocol(arrival);
  if (protocol.isErr()) return err(protocol.error);
  const method = request.method ?? "";
  const route = routeOf(method, request.url ?? "");
  if (route.isErr()) return err(route.error);
  if (table === undefined) {
    const message = "Cannot serve yet: the table has not been read";
    return err(problem("not_ready", message));
  }
  const head = readCallerHead(headers, table);
  if (head.isErr()) return err(head.error);
  const checked = checkRoute(route.value, { request, table });
  if (checked.isErr()) return err(checked.error);
  const { requestId, arrivedAt } = arrival;
  return ok({
    route: route.value,
    table,
    callerRequest: { requestId, method, headers, head: head.value, arrivedAt },
  });
}

/** Builds the call of an admitted request and its body. */
export function buildCall(
  admitted: AdmittedRequest,
  body: Uint8Array,
): Result<Call, Problem> {
  const { route, table, callerRequest } = admitted;
  if (route._tag === "Service") {
    return ok(serviceCall(callerRequest, { route, body }));
  }
  return chatCall(callerRequest, { table, body });
}
