/**
 * Sending of orders to engines over HTTP, with a strict time-out.
 *
 * @module
 */
import type { Tenure } from "@umbermast/coordination";
import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import type { Runner } from "../runner.ts";
import { MAX_SEND_MS, ORDER_TIMEOUT_MS } from "./placement_order.ts";
import type {
  EngineOrder,
  EngineOrders,
  OrderOutcome,
} from "./placement_order.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 64_000;
const PRECONDITION_FAILED = 412;

/**
 * {@linkcode EngineOrders} over HTTP.
 *
 * An engine that does not check fencing tokens accepts an order of a holder whose
 * lease has expired, and that order would override an earlier one of a newer
 * holder. Therefore an order is sent only if its longest possible send fits in
 * the remaining tenure. A send that takes longer is aborted with a connection
 * reset, which also discards bytes buffered by the operating system. The tenure
 * is checked in the same turn of the event loop as the write, so that a process
 * that was paused while connecting detects the end of its tenure.
 */
export class HttpEngineOrders implements EngineOrders {
  send(
    runner: Runner,
    order: EngineOrder,
    options: { readonly tenure: Tenure },
  ): Effect.Effect<OrderOutcome> {
    const { tenure } = options;
    return Effect.callback<OrderOutcome>((resume) => {
      const finish = (outcome: OrderOutcome) => resume(Effect.succeed(outcome));
      // Each order uses a new connection: a kept-alive one may be unresponsive.
      const socket = connect({ host: runner.address, port: runner.port });
      const connecting = setTimeout(
        () => socket.destroy(new Error("Connecting to the engine timed out")),
        CONNECT_TIMEOUT_MS,
      );
      const notSent = (error: Error) =>
        finish({ _tag: "NotSent", reason: error.message });
      socket.once("error", notSent);
      socket.once("connect", () => {
        clearTimeout(connecting);
        socket.off("error", notSent);
        send({ socket, order, tenure, runner, finish });
      });
      return Effect.sync(() => {
        clearTimeout(connecting);
        socket.resetAndDestroy();
      });
    });
  }
}

interface SendContext {
  readonly socket: Socket;
  readonly runner: Runner;
  readonly order: EngineOrder;
  readonly tenure: Tenure;
  readonly finish: (outcome: OrderOutcome) => void;
}

function send({ socket, runner, order, tenure, finish }: SendContext): void {
  const body = JSON.stringify({ ...order, fencing: tenure.fencing });
  const clientRequest = request({
    createConnection: () => socket,
    host: runner.address,
    port: runner.port,
    method: "POST",
    path: "/orders",
    headers: {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    },
  });
  // The request is written right after this event, in the same turn.
  clientRequest.once("socket", () => {
    if (tenure.remainingMs() >= MAX_SEND_MS) return;
    finish({
      _tag: "NotSent",
      reason: "The remaining tenure is shorter than the longest send",
    });
    socket.destroy();
  });
  const timer = setTimeout(() => {
    finish({
      _tag: "Unknown",
      reason: "No response within the order time-out",
    });
    socket.resetAndDestroy();
  }, ORDER_TIMEOUT_MS);
  clientRequest.on("error", (error) => {
    clearTimeout(timer);
    finish({ _tag: "Unknown", reason: error.message });
  });
  clientRequest.on("response", (response) => {
    readOutcome(response, clientRequest).then((outcome) => {
      clearTimeout(timer);
      finish(outcome);
      socket.destroy();
    });
  });
  clientRequest.end(body);
}

async function readOutcome(
  response: IncomingMessage,
  call: ClientRequest,
): Promise<OrderOutcome> {
  const status = response.statusCode ?? 0;
  const body = await readBody(response, call);
  if (status === 200) return { _tag: "Taken" };
  if (status !== PRECONDITION_FAILED) return { _tag: "Refused", status };
  const fencing: unknown = (body as { fencing?: unknown }).fencing;
  return { _tag: "Stale", fencing: typeof fencing === "number" ? fencing : 0 };
}

/** The JSON object of a response; an empty object if there is none. */
async function readBody(
  response: IncomingMessage,
  call: ClientRequest,
): Promise<object> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of response) {
      bytes += chunk.length;
      if (bytes > MAX_RESPONSE_BYTES) call.destroy();
      chunks.push(chunk);
    }
    const value: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    return typeof value === "object" && value !== null ? value : {};
  } catch {
    return {};
  }
}
