/**
 * Orders to engines over HTTP, bounded in time.
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
 * An engine that does not check fencing numbers takes an order of a holder
 * whose lease is over, and if a newer holder's order came before it, the older
 * one stands last. So an order's first byte leaves only while the whole of its
 * longest send fits in the remaining tenure, and a send that takes longer is
 * cut off with a reset, which also drops what the system still holds of it. The
 * tenure is looked at in the same turn of the event loop as the write: a
 * process that was paused while it connected finds its tenure over.
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
      // Each order has a connection of its own: a kept one may have gone silent.
      const socket = connect({ host: runner.address, port: runner.port });
      const connecting = setTimeout(
        () => socket.destroy(new Error("The connection took too long")),
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
    finish({ _tag: "NotSent", reason: "Too little of the lease is left" });
    socket.destroy();
  });
  const timer = setTimeout(() => {
    finish({ _tag: "Unknown", reason: "No answer in time" });
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

/** The answer's JSON; an empty object when it is none. */
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
