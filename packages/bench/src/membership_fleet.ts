/**
 * The member processes of `bench membership`.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Host } from "@umbermast/coordination";
import type {
  MemberNotice,
  MemberOrder,
  MemberSample,
} from "./membership_message.ts";

const MEMBER = fileURLToPath(
  new URL("./membership_member.js", import.meta.url),
);
const FAILURE_DOMAINS = ["halfway-tree", "spanish-town", "portmore"];
const STARTED_AT_ONCE = 8;
const START_LIMIT_MS = 60_000;

/** What one member saw of another. */
export interface Sighting {
  readonly by: string;
  readonly name: string;
  readonly state: "suspect" | "removed" | "leaving";
  /** Milliseconds since the epoch. */
  readonly at: number;
}

interface MemberProcess {
  readonly name: string;
  readonly child: ChildProcess;
  host?: Host;
}

function waitFor<A>(
  register: (resolve: (value: A) => void) => () => void,
  what: string,
  limitMs: number,
): Promise<A> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      end();
      reject(new Error(`Cannot wait longer for ${what}: ${limitMs} ms passed`));
    }, limitMs);
    const end = register((value) => {
      clearTimeout(timer);
      end();
      resolve(value);
    });
  });
}

/** Member processes on the loopback interface. */
export class MemberFleet {
  readonly sightings: Sighting[] = [];
  readonly #members = new Map<string, MemberProcess>();
  readonly #listeners = new Set<
    (by: MemberProcess, notice: MemberNotice) => void
  >();
  #samples = 0;

  /** Starts processes and gives each the list of all. */
  async start(count: number): Promise<void> {
    const names = Array.from({ length: count }, (_, i) => `member-${i}`);
    for (let at = 0; at < count; at += STARTED_AT_ONCE) {
      const batch = names.slice(at, at + STARTED_AT_ONCE);
      await Promise.all(batch.map((name, i) => this.#startOne(name, at + i)));
    }
    const hosts = [...this.#members.values()]
      .flatMap(({ host }) => host === undefined ? [] : [host]);
    for (const { child } of this.#members.values()) {
      order(child, { kind: "hosts", hosts });
    }
  }

  /** Names of the members that run. */
  names(): readonly string[] {
    return [...this.#members.keys()];
  }

  /** What each member has spent so far, by name. */
  async sample(): Promise<ReadonlyMap<string, MemberSample>> {
    this.#samples += 1;
    const id = this.#samples;
    const taken = [...this.#members.values()].map(async (member) => {
      const sample = waitFor<MemberSample>(
        (resolve) =>
          this.#listen((by, notice) => {
            if (by !== member || notice.kind !== "sample") return;
            if (notice.sample.id === id) resolve(notice.sample);
          }),
        `a sample of ${member.name}`,
        START_LIMIT_MS,
      );
      order(member.child, { kind: "sample", id });
      return [member.name, await sample] as const;
    });
    return new Map(await Promise.all(taken));
  }

  /** Kills a member without a word; returns the moment. */
  kill(name: string): number {
    const at = Date.now();
    this.#members.get(name)?.child.kill("SIGKILL");
    this.#members.delete(name);
    return at;
  }

  /** Has a member announce that it leaves; returns the moment. */
  leave(name: string): number {
    const at = Date.now();
    const member = this.#members.get(name);
    if (member !== undefined) order(member.child, { kind: "leave" });
    return at;
  }

  /**
   * Waits until all others have seen a member in a state, and gives for each
   * how long after `since` that was, in milliseconds.
   */
  async seen(
    name: string,
    state: Sighting["state"],
    options: { readonly since: number; readonly limitMs: number },
  ): Promise<readonly number[]> {
    const wanted = this.names().filter((other) => other !== name);
    const found = () => {
      const delays = new Map<string, number>();
      for (const sighting of this.sightings) {
        if (sighting.name !== name || sighting.state !== state) continue;
        if (sighting.at < options.since) continue;
        delays.set(sighting.by, sighting.at - options.since);
      }
      return wanted.every((other) => delays.has(other))
        ? [...delays.values()]
        : undefined;
    };
    return await waitFor<readonly number[]>(
      (resolve) => {
        const check = () => {
          const delays = found();
          if (delays !== undefined) resolve(delays);
        };
        const end = this.#listen(check);
        queueMicrotask(check);
        return end;
      },
      `"${name}" to be ${state} everywhere`,
      options.limitMs,
    );
  }

  /** Ends all members. */
  async stop(): Promise<void> {
    const ended = [...this.#members.values()].map(({ child }) =>
      new Promise<void>((resolve) => {
        child.once("close", () => resolve());
        child.kill("SIGKILL");
      })
    );
    this.#members.clear();
    await Promise.all(ended);
  }

  async #startOne(name: string, index: number): Promise<void> {
    const domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "";
    const child = fork(MEMBER, [name, domain], {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
    const member: MemberProcess = { name, child };
    this.#members.set(name, member);
    child.on("message", (notice: MemberNotice) => this.#take(member, notice));
    await waitFor<void>(
      (resolve) =>
        this.#listen((by, notice) => {
          if (by === member && notice.kind === "ready") resolve();
        }),
      `the start of ${name}`,
      START_LIMIT_MS,
    );
  }

  #take(by: MemberProcess, notice: MemberNotice): void {
    if (notice.kind === "ready") by.host = notice.host;
    if (notice.kind === "changed") {
      const { name, state, at } = notice;
      this.sightings.push({ by: by.name, name, state, at });
    }
    for (const listener of [...this.#listeners]) listener(by, notice);
  }

  #listen(
    listener: (by: MemberProcess, notice: MemberNotice) => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}

function order(child: ChildProcess, message: MemberOrder): void {
  child.send(message);
}
