/**
 * Member processes and a relay for their datagrams, for tests.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { createSocket } from "node:dgram";
import { fileURLToPath } from "node:url";
import type { Member, MembershipEvent } from "@umbermast/coordination";

const PROGRAM = fileURLToPath(new URL("./member_process.js", import.meta.url));
const LOOPBACK = "127.0.0.1";

/** Asks a member process to send a request to another member. */
export interface MemberOrder {
  readonly kind: "request";
  readonly to: string;
}

/** What a member process says. */
export type MemberNotice =
  | { readonly kind: "ready"; readonly host: Member }
  | { readonly kind: "view"; readonly states: readonly string[] }
  | { readonly kind: "event"; readonly event: MembershipEvent }
  | {
    readonly kind: "link";
    readonly peer: string;
    readonly state: "up" | "down";
  }
  | { readonly kind: "answer"; readonly answer: string };

export interface MemberStart {
  readonly name: string;
  /** Port that others dial; 0 for that of the listener. */
  readonly advertised?: number;
  readonly listened?: number;
  readonly knows?: readonly Member[];
}

/** One member process; ended by its pid with the test. */
export class MemberProcess {
  readonly notices: MemberNotice[] = [];
  readonly #child: ChildProcess;
  readonly #ended: Promise<void>;
  readonly #waiting = new Map<() => void, (error: Error) => void>();

  constructor(start: MemberStart) {
    const { advertised = 0, listened = advertised, knows = [] } = start;
    const hosts = knows.map((member) => ({
      ...member,
      role: "entry",
      state: "live",
    }));
    this.#child = fork(PROGRAM, [
      start.name,
      String(advertised),
      String(listened),
      JSON.stringify(hosts),
    ], { stdio: ["ignore", "ignore", "inherit", "ipc"] });
    this.#ended = new Promise((resolve) => {
      this.#child.once("close", (code) => {
        const error = new Error(`Member "${start.name}" ended with ${code}`);
        for (const reject of this.#waiting.values()) reject(error);
        resolve();
      });
    });
    this.#child.on("message", (notice: MemberNotice) => {
      this.notices.push(notice);
      for (const check of [...this.#waiting.keys()]) check();
    });
  }

  /**
   * Waits for a notice, from the given place in `notices` on; rejects when the
   * process ends before.
   */
  notice<A>(
    find: (notice: MemberNotice) => A | undefined,
    from = 0,
  ): Promise<A> {
    return new Promise((resolve, reject) => {
      const check = () => {
        for (const notice of this.notices.slice(from)) {
          const found = find(notice);
          if (found === undefined) continue;
          this.#waiting.delete(check);
          return resolve(found);
        }
      };
      this.#waiting.set(check, reject);
      check();
    });
  }

  self(): Promise<Member> {
    return this.notice((it) => it.kind === "ready" ? it.host : undefined);
  }

  /** Waits for a view that fits. */
  view(
    fits: (states: readonly string[]) => boolean,
    from = 0,
  ): Promise<readonly string[]> {
    return this.notice(
      (it) => it.kind === "view" && fits(it.states) ? it.states : undefined,
      from,
    );
  }

  /** Sends a request to another member; gives the answer, or why none came. */
  request(to: string): Promise<string> {
    const order: MemberOrder = { kind: "request", to };
    const from = this.notices.length;
    this.#child.send(order);
    return this.notice(
      (it) => it.kind === "answer" ? it.answer : undefined,
      from,
    );
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  end(): Promise<void> {
    this.#child.kill("SIGKILL");
    return this.#ended;
  }
}

/** Takes datagrams on a port and passes them on to another one. */
export function relayDatagrams(
  port: number,
  target: number,
): Promise<{ readonly close: () => void }> {
  return new Promise((resolve, reject) => {
    const socket = createSocket("udp4");
    socket.once("error", reject);
    socket.on("message", (datagram) => socket.send(datagram, target, LOOPBACK));
    socket.bind(port, LOOPBACK, () => {
      resolve({ close: () => socket.close() });
    });
  });
}
