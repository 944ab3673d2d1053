/**
 * One connection through the fault proxy.
 *
 * @module
 */
import { connectClient } from "@umbermast/coordination/client_socket";
import type { Socket } from "node:net";

/** Faults of the proxy that a connection asks about. */
export interface LinkFaults {
  /** Milliseconds that a chunk is late now. */
  delayMs(): number;
  /** Whether the answer that begins with these bytes is lost. */
  losesReply(start: Buffer): boolean;
  /** Milliseconds that the answer is held back; 0 for none. */
  holdMs(start: Buffer): number;
}

/** One way of the connection. */
interface Way {
  readonly from: Socket;
  readonly to: Socket;
  readonly name: "up" | "down";
}

/** Acts in the order given, each not before it is due. */
class DelayLine {
  #queue: { readonly dueAt: number; readonly act: () => void }[] = [];
  #timer: NodeJS.Timeout | undefined;

  add(dueAt: number, act: () => void): void {
    if (this.#queue.length === 0 && dueAt <= Date.now()) return act();
    this.#queue.push({ dueAt, act });
    this.#wait();
  }

  /** Does everything now. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const queue = this.#queue;
    this.#queue = [];
    for (const { act } of queue) act();
  }

  #wait(): void {
    const [first] = this.#queue;
    if (first === undefined || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.#next(), first.dueAt - Date.now());
    this.#timer.unref();
  }

  #next(): void {
    this.#timer = undefined;
    this.#queue.shift()?.act();
    this.#wait();
  }
}

/** A pair of sockets whose bytes go through faults. */
export class Link {
  /** Ends when both sockets are closed. */
  readonly ended: Promise<void>;
  readonly #caller: Socket;
  readonly #target: Socket;
  readonly #faults: LinkFaults;
  readonly #silenced = { up: false, down: false };
  readonly #lines = { up: new DelayLine(), down: new DelayLine() };
  /** The next bytes from the target begin an answer. */
  #answerBegins = true;
  /** Time before which no byte may go down, because an answer is held. */
  #heldUntil = 0;

  constructor(
    caller: Socket,
    target: { readonly address: string; readonly port: number },
    faults: LinkFaults,
  ) {
    this.#caller = caller;
    this.#faults = faults;
    this.#target = connectClient({
      host: target.address,
      port: target.port,
      allowHalfOpen: true,
    });
    const up = { from: caller, to: this.#target, name: "up" } as const;
    const down = { from: this.#target, to: caller, name: "down" } as const;
    this.ended = Promise.all([this.#carry(up), this.#carry(down)]).then(
      () => undefined,
    );
  }

  /** Resets the connection at both ends. */
  cut(): void {
    reset(this.#caller);
    reset(this.#target);
  }

  /**
   * Swallows all later bytes for good, in one direction or both, and does not
   * pass on that an end has closed: the ends cannot tell it from a slow network.
   */
  silence(direction?: "up" | "down"): void {
    if (direction !== "down") this.#silenced.up = true;
    if (direction !== "up") this.#silenced.down = true;
    // What back-pressure has paused must be read on, to be swallowed.
    this.#caller.resume();
    this.#target.resume();
  }

  /** Lets go at once of all that is late or held back. */
  release(): void {
    this.#heldUntil = 0;
    this.#lines.up.flush();
    this.#lines.down.flush();
  }

  #carry(way: Way): Promise<void> {
    const { from, to } = way;
    from.setNoDelay(true);
    from.on("error", () => {});
    from.on("data", (chunk) => this.#pass(way, chunk));
    to.on("drain", () => from.resume());
    from.on("end", () => this.#later(way, () => to.end()));
    return new Promise((resolve) => {
      from.on("close", (broken) => {
        if (broken) this.#later(way, () => reset(to));
        resolve();
      });
    });
  }

  #pass(way: Way, chunk: Buffer): void {
    if (this.#silenced[way.name]) return;
    if (way.name === "up") this.#answerBegins = true;
    else if (this.#answerBegins && !this.#beginAnswer(chunk)) return;
    this.#later(way, () => {
      if (!way.to.write(chunk)) way.from.pause();
    });
  }

  /** Applies what strikes a whole answer; false when the answer is lost. */
  #beginAnswer(start: Buffer): boolean {
    this.#answerBegins = false;
    if (this.#faults.losesReply(start)) {
      this.cut();
      return false;
    }
    const holdMs = this.#faults.holdMs(start);
    if (holdMs > 0) this.#heldUntil = Date.now() + holdMs;
    return true;
  }

  /** Acts at once, or when delay and hold are over; order is kept. */
  #later(way: Way, act: () => void): void {
    const now = Date.now();
    const held = way.name === "down" ? this.#heldUntil - now : 0;
    const waitMs = Math.max(this.#faults.delayMs(), held);
    this.#lines[way.name].add(now + waitMs, () => {
      if (!this.#silenced[way.name] && !way.to.destroyed) act();
    });
  }
}

/**
 * Resets a connection; closes one that is still being opened or is being ended, which
 * Node would never let go of: the process would not exit.
 */
function reset(socket: Socket): void {
  if (socket.connecting || socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
