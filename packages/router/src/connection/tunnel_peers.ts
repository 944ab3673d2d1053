/**
 * Reaches runners by way of peers.
 *
 * @module
 */
import { connect } from "node:net";
import type { Contact } from "../process/contact.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { PeerVerdict } from "../process/runner_paths.ts";
import { TUNNEL_PREFACE, TunnelChannel } from "./tunnel_channel.ts";
import type { TunnelMessage } from "./tunnel_message.ts";
import { TunnelLostError } from "./tunnel_socket.ts";

/** Time-out in ms for opening a channel to a peer. */
const DIAL_TIMEOUT_MS = 250;
/** Time-out in ms for a peer's reply, which may itself connect to the runner. */
const REPLY_TIMEOUT_MS = 400;
/** Peers that are tried in turn for one connection. */
const MAX_TRIES = 3;
/**
 * Peers that are asked at the same time about one runner, in each round. The second
 * round is for a partition of most hosts: the first peers may be partitioned, too.
 */
const ASKED_PEERS = [2, 4];
/** Time in ms for which a peer that rejected a connection is asked last. */
const BACKOFF_MS = 1_000;

/** What the tunnels use of the daemon. */
export interface TunnelPeersContext {
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "tunnelOpened">;
  readonly failureDomain: string;
  /** Other daemons that are presumed alive. */
  peers(): readonly Contact[];
  /** In [0, 1). */
  random(): number;
}

/** Chooses the peers that tunnel connections, and opens channels to them. */
export class TunnelPeers {
  readonly #context: TunnelPeersContext;
  /** When peers last rejected a connection, by their names; monotonic ms. */
  readonly #rejectedAt = new Map<string, number>();

  constructor(context: TunnelPeersContext) {
    this.#context = context;
  }

  /**
   * Opens a channel on which a connection to a runner is open.
   *
   * @throws {TunnelLostError} if no peer that was tried opens it; nothing was sent to
   * the runner then.
   */
  async connect(runner: Runner): Promise<TunnelChannel> {
    let reason = "no peers";
    for (const peer of this.#candidates(runner).slice(0, MAX_TRIES)) {
      try {
        const { channel, reply } = await this.#request(peer, {
          kind: "connect",
          runner: runner.id,
        });
        if (reply.kind === "connected") {
          this.#context.metrics.tunnelOpened(runner.service, "opened");
          return channel;
        }
        channel.close();
        reason = reply.kind === "rejected" ? reply.reason : reply.kind;
      } catch (error) {
        reason = error instanceof Error ? error.message : String(error);
      }
      this.#recordRejection(peer, { runner: runner.id, reason });
    }
    throw new TunnelLostError(`Cannot connect by way of a peer: ${reason}`);
  }

  /**
   * Asks some peers whether they reach a runner.
   *
   * @param withinMs the time in which they may have reached it before.
   */
  async check(runner: Runner, withinMs: number): Promise<PeerVerdict> {
    const candidates = this.#candidates(runner);
    const verdicts: PeerVerdict[] = [];
    let asked = 0;
    for (const count of ASKED_PEERS) {
      const round = candidates.slice(asked, asked + count);
      asked += round.length;
      const replies = round.map((peer) => this.#ask(peer, runner, withinMs));
      const first = await firstReached(replies);
      if (first === "reached") return first;
      verdicts.push(...await Promise.all(replies));
      if (!verdicts.includes("unknown")) break;
    }
    if (verdicts.includes("refused")) return "refused";
    return verdicts.includes("unreached") ? "unreached" : "unknown";
  }

  async #ask(
    peer: Contact,
    runner: Runner,
    withinMs: number,
  ): Promise<PeerVerdict> {
    try {
      const message = { kind: "check", runner: runner.id, withinMs } as const;
      const { channel, reply } = await this.#request(peer, message);
      channel.close();
      return reply.kind === "checked" ? reply.verdict : "unknown";
    } catch {
      return "unknown";
    }
  }

  /**
   * Peers in the order in which to try them: those of the runner's failure domain
   * first and then those of the own one, as bytes then cross domains once at most.
   */
  #candidates({ failureDomain }: Runner): readonly Contact[] {
    const now = performance.now();
    const costOf = (peer: Contact) => {
      const rejectedAt = this.#rejectedAt.get(peer.name) ?? -Infinity;
      if (now - rejectedAt < BACKOFF_MS) return 3;
      if (peer.failureDomain === failureDomain) return 0;
      return peer.failureDomain === this.#context.failureDomain ? 1 : 2;
    };
    return this.#context.peers()
      .map((peer) => ({
        peer,
        cost: costOf(peer),
        order: this.#context.random(),
      }))
      .sort((one, other) => one.cost - other.cost || one.order - other.order)
      .map(({ peer }) => peer);
  }

  #recordRejection(
    peer: Contact,
    { runner, reason }: { readonly runner: string; readonly reason: string },
  ): void {
    const now = performance.now();
    for (const [name, at] of this.#rejectedAt) {
      if (now - at >= BACKOFF_MS) this.#rejectedAt.delete(name);
    }
    this.#rejectedAt.set(peer.name, now);
    this.#context.log.event("tunnel_failed", {
      peer: peer.name,
      runner,
      reason,
    });
  }

  /** Opens a channel, sends its first message and returns the reply. */
  #request(peer: Contact, message: TunnelMessage): Promise<{
    readonly channel: TunnelChannel;
    readonly reply: TunnelMessage;
  }> {
    const [host = "", port = ""] = peer.address.split(":");
    const socket = connect({ host, port: Number(port) });
    return new Promise((resolve, reject) => {
      const fail = (reason: string) => {
        clearTimeout(timer);
        channel.close();
        reject(new TunnelLostError(reason));
      };
      let timer = setTimeout(() => fail("dial timeout"), DIAL_TIMEOUT_MS);
      const channel: TunnelChannel = new TunnelChannel(socket, {
        onMessage: (reply) => {
          clearTimeout(timer);
          resolve({ channel, reply });
        },
        onLost: () => fail("channel is lost"),
      });
      socket.once("connect", () => {
        clearTimeout(timer);
        timer = setTimeout(() => fail("no reply"), REPLY_TIMEOUT_MS);
        socket.write(TUNNEL_PREFACE);
        channel.send(message);
      });
    });
  }
}

/** Resolves with "reached" as soon as any verdict is that, else with the last one. */
function firstReached(
  verdicts: readonly Promise<PeerVerdict>[],
): Promise<PeerVerdict> {
  return new Promise((resolve) => {
    for (const verdict of verdicts) {
      void verdict.then((value) => {
        if (value === "reached") resolve(value);
      });
    }
    void Promise.all(verdicts).then((all) => resolve(all.at(-1) ?? "unknown"));
  });
}
