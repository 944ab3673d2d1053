/**
 * Fixtures for tests of calls: a runner that is told what to do with each
 * request, a caller that records, and a scheduler that grants at once.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { RunnerConnections } from "../src/connection/runner_connections.ts";
import type { Log } from "../src/process/log.ts";
import { RetryBudget } from "../src/process/retry_budget.ts";
import type { Runner } from "../src/process/runner.ts";
import type { Ask, Grant, Refusal, Settlement } from "../src/request/ask.ts";
import {
  type AttemptSettings,
  DEFAULT_ATTEMPT_SETTINGS,
} from "../src/request/attempt_settings.ts";
import type {
  AnswerHead,
  Call,
  CallerGone,
  Problem,
  Reply,
} from "../src/request/call.ts";
import {
  type CallServices,
  RetryingCallRunner,
} from "../src/request/retrying_call_runner.ts";

/** One request as a fixture runner received it. */
export interface Received {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers one request; `number` counts the runner's requests from 1. */
export type Script = (
  exchange: {
    readonly number: number;
    readonly request: Received;
    readonly response: http.ServerResponse;
    readonly socket: Socket;
  },
) => void;

/** A small HTTP server standing for a runner. */
export interface FixtureRunner {
  readonly runner: Runner;
  readonly received: readonly Received[];
  readonly cancels: readonly string[];
  /** Ends when a cancel order has come. */
  cancelled(): Promise<void>;
  close(): Promise<void>;
}

/** Starts a runner that answers by the script; cancel orders are recorded apart. */
export async function startRunner(
  name: string,
  script: Script,
): Promise<FixtureRunner> {
  const received: Received[] = [];
  const cancels: string[] = [];
  const waiting: (() => void)[] = [];
  const server = http.createServer((incoming, response) => {
    const pieces: Buffer[] = [];
    incoming.on("data", (piece: Buffer) => pieces.push(piece));
    incoming.on("error", () => {});
    incoming.on("end", () => {
      const body = Buffer.concat(pieces).toString("utf8");
      if (incoming.url === "/v1/cancel") {
        cancels.push(JSON.parse(body).requestId);
        response.end("{}");
        for (const wake of waiting.splice(0)) wake();
        return;
      }
      const request = {
        method: incoming.method ?? "",
        path: incoming.url ?? "",
        headers: incoming.headers,
        body,
      };
      received.push(request);
      const number = received.length;
      script({ number, request, response, socket: incoming.socket });
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  return {
    runner: runnerAt(name, port),
    received,
    cancels,
    cancelled: () =>
      cancels.length > 0
        ? Promise.resolve()
        : new Promise((done) => waiting.push(done)),
    close: () =>
      new Promise((done) => {
        server.close(() => done());
        server.closeAllConnections();
      }),
  };
}

/** A runner of this machine, listening or not. */
export function runnerAt(name: string, port: number): Runner {
  return {
    name,
    service: "drafting-llm",
    address: "127.0.0.1",
    port,
    region: "kingston",
    failureDomain: "portmore",
    state: "live",
    incarnation: 1,
  };
}

/** A port on which nothing listens. */
export async function closedPort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((done) => server.close(() => done()));
  return port;
}

/** A streamed, repeatable chat request; the fields given replace its own. */
export function callOf(fields: Partial<Call> = {}): Call {
  const now = Date.now();
  return {
    requestId: "r1",
    workspace: "showroom",
    class: "quote",
    tier: 0,
    service: "drafting-llm",
    model: "worktop-1",
    method: "POST",
    path: "/v1/chat/completions",
    headers: [{ name: "content-type", value: "application/json" }],
    body: Buffer.from('{"stream":true}'),
    streamed: true,
    repeatable: true,
    promptTokens: 10,
    arrivedAt: now,
    deadline: now + 60_000,
    ...fields,
  };
}

/** A call of a plain service that may not be repeated. */
export function jobCard(fields: Partial<Call> = {}): Call {
  const { model: _model, ...call } = callOf({
    service: "yard-app",
    path: "/job-cards",
    body: Buffer.from('{"job":7}'),
    streamed: false,
    repeatable: false,
  });
  return { ...call, ...fields };
}

/** A caller that records what it is given. */
export class RecordingReply implements Reply {
  head: AnswerHead | undefined;
  body = "";
  ended = false;
  problem: Problem | undefined;
  broken: Problem | undefined;
  /** Fails writes from this many on. */
  goneAfter = Infinity;
  #writes = 0;
  readonly #waiting: { readonly text: string; readonly wake: () => void }[] =
    [];

  get begun(): boolean {
    return this.head !== undefined;
  }

  begin(head: AnswerHead): void {
    if (this.head !== undefined) throw new Error("The answer began twice");
    this.head = head;
  }

  push(bytes: Uint8Array): boolean {
    if (this.head === undefined) throw new Error("Written before the head");
    if (this.ended) throw new Error("Written after the end");
    this.#writes += 1;
    if (this.#writes > this.goneAfter) return false;
    this.body += Buffer.from(bytes).toString("utf8");
    for (const { text, wake } of this.#waiting) {
      if (this.body.includes(text)) wake();
    }
    return true;
  }

  room(): Effect.Effect<void, CallerGone> {
    if (this.#writes <= this.goneAfter) return Effect.void;
    return Effect.fail({ _tag: "CallerGone", reason: "closed" });
  }

  write(bytes: Uint8Array): Effect.Effect<void, CallerGone> {
    return this.push(bytes) ? Effect.void : this.room();
  }

  end(): void {
    if (this.ended) throw new Error("Ended twice");
    this.ended = true;
  }

  breakOff(problem: Problem): void {
    this.broken = problem;
  }

  refuse(problem: Problem): void {
    if (this.begun) throw new Error("Refused after the head");
    this.problem = problem;
  }

  /** Ends when the text has been written. */
  has(text: string): Promise<void> {
    if (this.body.includes(text)) return Promise.resolve();
    return new Promise((wake) => this.#waiting.push({ text, wake }));
  }

  header(name: string): string | undefined {
    return this.head?.headers.find((each) => each.name === name)?.value;
  }
}

/** Grants the first runner not excluded; records asks and settlements. */
export class FixtureScheduler {
  readonly asks: Ask[] = [];
  readonly settlements: Settlement[] = [];
  grantMs = 60_000;
  readonly #runners: readonly Runner[];
  #held = false;
  #asked: () => void = () => {};
  #wake: () => void = () => {};

  constructor(runners: readonly Runner[]) {
    this.#runners = runners;
  }

  /**
   * Lets the next ask wait until `letGo`.
   *
   * @returns a promise that ends when the ask has come.
   */
  holdNext(): Promise<void> {
    this.#held = true;
    return new Promise((asked) => {
      this.#asked = asked;
    });
  }

  /** Grants the ask that waits. */
  letGo(): void {
    this.#wake();
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    if (!this.#held) return this.#grant(ask);
    this.#held = false;
    return Effect.andThen(
      Effect.callback<void>((resume) => {
        this.#wake = () => resume(Effect.void);
        this.#asked();
      }),
      this.#grant(ask),
    );
  }

  #grant(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.suspend(() => this.#grantNow(ask));
  }

  #grantNow(ask: Ask): Effect.Effect<Grant, Refusal> {
    this.asks.push(ask);
    const runner = this.#runners.find((each) =>
      !ask.excluded.includes(each.name)
    );
    if (runner === undefined) {
      return Effect.fail({
        _tag: "Refusal",
        code: "no_runner",
        message: "No runner is left",
        retryAfterMs: 500,
      });
    }
    let held = true;
    return Effect.succeed({
      askId: ask.askId,
      runner,
      expiresAt: Date.now() + this.grantMs,
      release: (settlement) => {
        if (held) this.settlements.push(settlement);
        held = false;
      },
    });
  }
}

/** One event of the log. */
export interface Logged {
  readonly name: string;
  readonly [field: string]: string | number | boolean | undefined;
}

/** A runner of calls over the runners given, with what it did. */
export interface CallBench {
  readonly scheduler: FixtureScheduler;
  readonly logged: readonly Logged[];
  readonly budget: RetryBudget;
  readonly callRunner: RetryingCallRunner;
  readonly connections: RunnerConnections;
  readonly log: Log;
}

/** Builds a runner of calls; short limits replace the defaults where given. */
export function callBench(
  runners: readonly Runner[],
  options: {
    readonly settings?: Partial<AttemptSettings>;
    readonly services?: Partial<CallServices>;
  } = {},
): CallBench {
  const scheduler = new FixtureScheduler(runners);
  const logged: Logged[] = [];
  const log: Log = {
    event: (name, fields) => logged.push({ name, ...fields }),
    decision: (name, fields) => logged.push({ name, ...fields }),
    warning: (name, fields) => logged.push({ name, ...fields }),
  };
  const budget = new RetryBudget({ share: 0.1, burst: 5 });
  const connections = new RunnerConnections();
  const callRunner = new RetryingCallRunner({
    scheduler,
    budget,
    connections,
    clock: SYSTEM_CLOCK,
    log,
    settings: { ...DEFAULT_ATTEMPT_SETTINGS, ...options.settings },
    ...options.services,
  });
  return { scheduler, logged, log, budget, callRunner, connections };
}

/** Headers that a well-behaved runner echoes. */
export function echo(request: Received): Readonly<Record<string, string>> {
  return {
    "umbermast-request-id": String(request.headers["umbermast-request-id"]),
    "umbermast-attempt-id": String(request.headers["umbermast-attempt-id"]),
  };
}

/** A token event with its number as text; the last one of `of` finishes. */
export function tokenEvent(number: number, of: number): string {
  const finish = number === of ? "stop" : null;
  const choice = {
    index: 0,
    delta: { content: `<${number}>` },
    finish_reason: finish,
  };
  const usage = { prompt_tokens: 11, completion_tokens: of };
  const event = number === of
    ? { choices: [choice], usage }
    : { choices: [choice] };
  return `data: ${JSON.stringify(event)}\n\n`;
}

/** Token events `from` (counted from 1) to `to`, of a stream of `of`. */
export function tokenEvents(
  range: { readonly from: number; readonly to: number; readonly of: number },
): string {
  let text = "";
  for (let n = range.from; n <= range.to; n++) text += tokenEvent(n, range.of);
  return text;
}

/** Begins a stream's answer. */
export function streamHead(
  request: Received,
  response: http.ServerResponse,
): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    ...echo(request),
  });
}

/** The end mark of a stream. */
export const DONE = "data: [DONE]\n\n";
