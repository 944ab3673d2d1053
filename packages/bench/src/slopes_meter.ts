/**
 * Counts what a process spends and sends, from outside the code that it
 * measures: sockets are seen through Node's diagnostics channels.
 *
 * @module
 */
import diagnostics from "node:diagnostics_channel";
import type { Socket as UdpSocket } from "node:dgram";
import type { Socket } from "node:net";
import process from "node:process";

/** Counters of a process at one moment. */
export interface Reading {
  /** Monotonic milliseconds. */
  readonly atMs: number;
  /** Processor time of the process so far, user and system. */
  readonly cpuMicros: number;
  /** Bytes sent and received so far on all sockets, without IP headers. */
  readonly bytes: number;
  /** Messages sent and received so far. */
  readonly messages: number;
  /** Calls to the platform's store so far. */
  readonly storeCalls: number;
  /** Heap and buffers in use, after a collection. */
  readonly stateBytes: number;
  readonly rssBytes: number;
}

function socketOf(message: unknown): unknown {
  return (message as { readonly socket: unknown }).socket;
}

/** Counts from its creation on; make it before any socket. */
export class Meter {
  readonly #open = new Set<Socket>();
  #closedBytes = 0;
  #datagramBytes = 0;
  #messages = 0;
  #storeCalls = 0;

  constructor() {
    const follow = (message: unknown) => this.#follow(socketOf(message));
    diagnostics.subscribe("net.client.socket", follow);
    diagnostics.subscribe("net.server.socket", follow);
    diagnostics.subscribe(
      "udp.socket",
      (message) => this.#followUdp(socketOf(message) as UdpSocket),
    );
  }

  /** Notes messages that were sent or received. */
  countMessages(count: number): void {
    this.#messages += count;
  }

  /** Notes a call to the platform's store. */
  countStoreCall(): void {
    this.#storeCalls += 1;
  }

  /**
   * Reads all counters, after a collection when the process allows it; what the
   * collection costs falls before the moment that is read.
   */
  read(): Reading {
    globalThis.gc?.();
    const usage = process.cpuUsage();
    const atMs = performance.now();
    let bytes = this.#closedBytes + this.#datagramBytes;
    for (const socket of this.#open) bytes += bytesOf(socket);
    const memory = process.memoryUsage();
    return {
      atMs,
      cpuMicros: usage.user + usage.system,
      bytes,
      messages: this.#messages,
      storeCalls: this.#storeCalls,
      stateBytes: memory.heapUsed + memory.external,
      rssBytes: memory.rss,
    };
  }

  #follow(given: unknown): void {
    const socket = given as Socket;
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#closedBytes += bytesOf(socket);
    });
  }

  #followUdp(socket: UdpSocket): void {
    socket.on("message", (message) => this.#datagram(message.length));
    const send = socket.send.bind(socket) as (...args: unknown[]) => void;
    socket.send = (...args: unknown[]) => {
      this.#datagram(sizeOf(args[0]));
      send(...args);
    };
  }

  #datagram(size: number): void {
    this.#datagramBytes += size;
    this.#messages += 1;
  }
}

function bytesOf(socket: Socket): number {
  return (socket.bytesRead ?? 0) + (socket.bytesWritten ?? 0);
}

function sizeOf(payload: unknown): number {
  if (Array.isArray(payload)) {
    return payload.reduce((sum: number, part) => sum + sizeOf(part), 0);
  }
  if (typeof payload === "string") return Buffer.byteLength(payload);
  return (payload as Uint8Array).byteLength;
}
