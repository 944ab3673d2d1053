/**
 * In-memory links between members, with fault injection.
 *
 * @module
 */
import { decode, encode } from "cbor-x";
import * as Effect from "effect/Effect";
import type {
  MessageHandler,
  Peers,
  PeerUnreachable,
} from "../process/peers.ts";

/** A message in transit. */
export interface Delivery {
  readonly from: string;
  readonly to: string;
  readonly channel: string;
  readonly kind: "send" | "request" | "answer";
}

/**
 * What is done with a message: deliver it, lose it silently, or refuse it
 * immediately.
 */
export type DeliveryAction = "deliver" | "lose" | "refuse";

/** A network that links all its {@linkcode Peers} with each other. */
export class MemoryNetwork {
  readonly #members = new Map<string, MemoryPeers>();
  /** Decides what is done with each message. Default: all are delivered. */
  intercept: (delivery: Delivery) => DeliveryAction = () => "deliver";
  /** All messages so far, including lost ones. */
  readonly deliveries: Delivery[] = [];

  /** The links of a member; a second call replaces them, as a restart does. */
  peers(name: string): Peers {
    const peers = new MemoryPeers(name, this);
    this.#members.set(name, peers);
    return peers;
  }

  /** Disconnects a member from the network. */
  remove(name: string): void {
    this.#members.delete(name);
  }

  /**
   * Records a message, and returns its handler or why it is not delivered.
   *
   * @internal
   */
  resolveHandler(delivery: Delivery): MessageHandler | DeliveryAction {
    this.deliveries.push(delivery);
    const action = this.intercept(delivery);
    if (action !== "deliver") return action;
    const to = this.#members.get(delivery.to);
    return to?.handler(delivery.channel) ?? "refuse";
  }

  /** @internal */
  interceptResponse(delivery: Delivery): DeliveryAction {
    this.deliveries.push(delivery);
    return this.intercept(delivery);
  }
}

class MemoryPeers implements Peers {
  readonly #name: string;
  readonly #network: MemoryNetwork;
  readonly #handlers = new Map<string, MessageHandler>();

  constructor(name: string, network: MemoryNetwork) {
    this.#name = name;
    this.#network = network;
  }

  handler(channel: string): MessageHandler | undefined {
    return this.#handlers.get(channel);
  }

  send(to: string, channel: string, message: unknown): boolean {
    const delivery: Delivery = {
      from: this.#name,
      to,
      channel,
      kind: "send",
    };
    const handler = this.#network.resolveHandler(delivery);
    if (typeof handler === "string") return handler !== "refuse";
    const copy: unknown = decode(encode(message));
    setImmediate(() => Effect.runFork(handler(this.#name, copy)));
    return true;
  }

  request(
    to: string,
    message: { readonly channel: string; readonly body: unknown },
    options: { readonly timeoutMs: number },
  ): Effect.Effect<unknown, PeerUnreachable> {
    const failed = (reason: PeerUnreachable["reason"]) =>
      Effect.fail<PeerUnreachable>({
        _tag: "PeerUnreachable",
        peer: to,
        reason,
      });
    const { channel } = message;
    return Effect.gen({ self: this }, function* () {
      const outbound: Delivery = {
        from: this.#name,
        to,
        channel,
        kind: "request",
      };
      const handler = this.#network.resolveHandler(outbound);
      if (handler === "refuse") return yield* failed("no-link");
      if (typeof handler === "string") return yield* Effect.never;
      const body: unknown = decode(encode(message.body));
      const response = yield* handler(this.#name, body);
      const inbound: Delivery = {
        from: to,
        to: this.#name,
        channel,
        kind: "answer",
      };
      const action = this.#network.interceptResponse(inbound);
      if (action === "refuse") return yield* failed("closed");
      if (action === "lose") return yield* Effect.never;
      return decode(encode(response)) as unknown;
    }).pipe(Effect.timeoutOrElse({
      duration: options.timeoutMs,
      orElse: () => failed("timeout"),
    }));
  }

  handle(channel: string, handler: MessageHandler): void {
    if (this.#handlers.has(channel)) {
      throw new Error(`Channel "${channel}" already has a handler`);
    }
    this.#handlers.set(channel, handler);
  }

  subscribe(): () => void {
    return () => {};
  }
}
