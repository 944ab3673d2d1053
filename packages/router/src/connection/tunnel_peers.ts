/**
 * Reaches runners by way of peers.
 *
 * @module
 */
import type { Contact } from "../process/contact.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { PeerVerdict } from "../process/runner_paths.ts";
import { openSocketTo } from "./open_socket.ts";
import { TUNNEL_PREFACE, TunnelChannel } from "./tunnel_channel.ts";
import type { Tunnel } from "./tunnel_channel.ts";
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
const REJECTED_MS = 1_000;
/** The same for a peer whose tunnel carried nothing: it may not know so itself. */
const SILENT_MS = 3_000;
/**
 * The same for a peer that is shutting down: its tunnels end with its process. Longer
 * than most have for that.
 */
const LEAVING_MS = 30_000;
/** Time in ms for which a response shows that a peer reaches runners. */
const PROVEN_MS = 5_000;
/** Time in ms without a response after which a tunnel is taken for silent. */
const SILENCE_MS = 600;

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
  /** Until when peers are asked last, by their names; monotonic ms. */
  readonly #avoidedUntil = new Map<string, number>();
  /** When the first request was sent that got no response, and none did since. */
  readonly #unansweredSince = new Map<string, number>();
  /** When something last arrived from runners by way of peers; monotonic ms. */
  readonly #respondedAt = new Map<string, number>();

  constructor(context: TunnelPeersContext) {
    this.#context = context;
  }

  /**
   * Opens a channel on which a connection to a runner is open.
   *
   * @throws {TunnelLostError} if no peer that was tried opens it; nothing was sent to
   * the runner then.
   */
  async connect(runner: Runner): Promise<Tunnel> {
    let reason = "no peers";
    for (const peer of this.#candidates(runner).slice(0, MAX_TRIES)) {
      this.#beginTrial(peer.name);
      try {
        const { channel, reply } = await this.#request(peer, {
          kind: "connect",
          runner: runner.id,
        });
        if (reply.kind === "connected") {
          this.#context.metrics.tunnelOpened(runner.service, "opened");
          return { channel, peer: peer.name };
        }
        channel.close();
        reason = reply.kind === "rejected" ? reply.reason : reply.kind;
      } catch (error) {
        reason = error instanceof Error ? error.message : String(error);
      }
      this.#avoid(peer.name, REJECTED_MS);
      this.#context.log.event("tunnel_failed", {
        peer: peer.name,
        runner: runner.id,
        reason,
      });
    }
    throw new TunnelLostError(`Cannot connect by way of a peer: ${reason}`);
  }

  /**
   * Asks a peer last until something arrives by way of it, if nothing has for some
   * time: its paths may carry nothing, and it may not know.
   */
  #beginTrial(peer: string): void {
    const now = performance.now();
    const respondedAt = this.#respondedAt.get(peer) ?? -Infinity;
    if (now - respondedAt < PROVEN_MS) return;
    const since = this.#unansweredSince.get(peer) ?? -Infinity;
    if (now - since >= SILENT_MS) this.#unansweredSince.set(peer, now);
  }

  /** Records that something has arrived from a runner by way of a peer. */
  recordResponse(peer: string): void {
    this.#unansweredSince.delete(peer);
    this.#respondedAt.set(peer, performance.now());
  }

  /** Records that a peer is shutting down; it is asked last while others are there. */
  recordLeaving(peer: string): void {
    this.#avoid(peer, LEAVING_MS);
  }

  /**
   * Records that a request by way of a peer got no response.
   *
   * @param sentAt monotonic ms.
   */
  recordUnanswered(peer: string, sentAt: number): void {
    const respondedAt = this.#respondedAt.get(peer) ?? -Infinity;
    if (respondedAt >= sentAt) return;
    const since = this.#unansweredSince.get(peer) ?? sentAt;
    this.#unansweredSince.set(peer, since);
    if (performance.now() - since < SILENCE_MS) return;
    this.#unansweredSince.delete(peer);
    this.#avoid(peer, SILENT_MS);
    this.#context.log.event("tunnel_failed", { peer, reason: "silent" });
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
      if (now < (this.#avoidedUntil.get(peer.name) ?? -Infinity)) return 4;
      const since = this.#unansweredSince.get(peer.name) ?? -Infinity;
      if (now - since < SILENT_MS) return 3;
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

  /** Asks a peer last for a time. */
  #avoid(peer: string, ms: number): void {
    const now = performance.now();
    for (const [name, until] of this.#avoidedUntil) {
      if (until <= now) this.#avoidedUntil.delete(name);
    }
    const until = this.#avoidedUntil.get(peer) ?? now;
    this.#avoidedUntil.set(peer, Math.max(until, now + ms));
  }

  /** Opens a channel, sends its first message and returns the reply. */
  #request(peer: Contact, message: TunnelMessage): Promise<{
    readonly channel: TunnelChannel;
    readonly reply: TunnelMessage;
  }> {
    const socket = openSocketTo(peer.address);
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
          channel.hold();
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
