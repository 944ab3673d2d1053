/**
 * Links between members in memory, with cuts and losses on demand.
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

/** A message on its way. */
export interface Delivery {
  readonly from: string;
  readonly to: string;
  readonly channel: string;
  readonly kind: "send" | "request" | "answer";
}

/** What happens to a message: delivered, lost without a sign, or refused at once. */
export type DeliveryAction = "deliver" | "lose" | "refuse";

/** Links all its {@linkcode Peers} with each other. */
export class MemoryNetwork {
  readonly #members = new Map<string, MemoryPeers>();
  /** Decides the fate of each message; all are delivered by default. */
  intercept: (delivery: Delivery) => DeliveryAction = () => "deliver";
  /** Messages so far, lost ones included. */
  readonly deliveries: Delivery[] = [];

  /** The links of one member; a second call replaces it, as a restart does. */
  peers(name: string): Peers {
    const peers = new MemoryPeers(name, this);
    this.#members.set(name, peers);
    return peers;
  }

  /** Takes a member off the network. */
  remove(name: string): void {
    this.#members.delete(name);
  }

  /** @internal */
  handler(delivery: Delivery): MessageHandler | DeliveryAction {
    this.deliveries.push(delivery);
    const fate = this.intercept(delivery);
    if (fate !== "deliver") return fate;
    const to = this.#members.get(delivery.to);
    return to?.handler(delivery.channel) ?? "refuse";
  }

  /** @internal */
  answered(delivery: Delivery): DeliveryAction {
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
    const handler = this.#network.handler(delivery);
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
      const there: Delivery = {
        from: this.#name,
        to,
        channel,
        kind: "request",
      };
      const handler = this.#network.handler(there);
      if (handler === "refuse") return yield* failed("no-link");
      if (typeof handler === "string") return yield* Effect.never;
      const body: unknown = decode(encode(message.body));
      const answer = yield* handler(this.#name, body);
      const back: Delivery = {
        from: to,
        to: this.#name,
        channel,
        kind: "answer",
      };
      const fate = this.#network.answered(back);
      if (fate === "refuse") return yield* failed("closed");
      if (fate === "lose") return yield* Effect.never;
      return decode(encode(answer)) as unknown;
    }).pipe(Effect.timeoutOrElse({
      duration: options.timeoutMs,
      orElse: () => failed("timeout"),
    }));
  }

  handle(channel: string, handler: MessageHandler): void {
    if (this.#handlers.has(channel)) {
      throw new Error(`Channel "${channel}" has a handler already`);
    }
    this.#handlers.set(channel, handler);
  }

  subscribe(): () => void {
    return () => {};
  }
}
