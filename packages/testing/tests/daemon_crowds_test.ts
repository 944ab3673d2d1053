import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import {
  ClientCrowd,
  openBody,
  openDescriptors,
  peakMemoryMb,
  repeated,
  requestHead,
  startStack,
} from "../src/mod.ts";
import type { Stack, StackDaemon } from "../src/mod.ts";

/** Memory of a host in MB: that of the smallest ones. */
const MEMORY_MB = 210;
/** Descriptors that a daemon may have open. */
const DESCRIPTORS = 400;
/** Bounds the heap of a daemon, as its operators do. */
const HEAP_OPTION = "--max-old-space-size=96";
const LIMITS = { connections: 300, queuedRequests: 200 };
/** Longest time in ms for an ordinary request with its retries. */
const LIMIT_MS = 20_000;
const RETRY_MS = 250;
/** Time in ms for which a crowd that has sent stays. */
const STAY_MS = 1_000;
const HOST = "umbermast.example";
const CHAT = "/v1/chat/completions";
const LARGE_CHUNK = 64 * 1024;

/** Starts one daemon on a small host. */
async function startDaemon(t: TestContext) {
  const options = process.env.NODE_OPTIONS;
  process.env.NODE_OPTIONS = HEAP_OPTION;
  const stack = await startStack({
    daemons: 1,
    runners: 1,
    plainRunners: 1,
    daemonSettings: { limits: LIMITS },
  }).finally(() => {
    if (options === undefined) delete process.env.NODE_OPTIONS;
    else process.env.NODE_OPTIONS = options;
  });
  t.after(() => stack.close());
  return new CrowdedDaemon(stack);
}

class CrowdedDaemon {
  readonly #stack: Stack;
  readonly #daemon: StackDaemon;
  #status: number | null | undefined;

  constructor(stack: Stack) {
    this.#stack = stack;
    this.#daemon = stack.daemons[0]!;
    this.#daemon.child.ended.then((status) => this.#status = status);
  }

  /** A key of the table. */
  get key(): string {
    return Object.values(this.#stack.keys)[0]!;
  }

  get operatorToken(): string {
    return this.#stack.operatorToken;
  }

  async port(name: "callers" | "operators" | "peers"): Promise<number> {
    const { url, operatorUrl, child } = this.#daemon;
    if (name === "callers") return Number(new URL(url).port);
    if (name === "operators") return Number(new URL(operatorUrl).port);
    const [, port] = await child.logged(/peers="?[\d.]+:(\d+)/);
    return Number(port);
  }

  /** Checks that the process lives, within the memory and descriptors of its host. */
  checkHolds(): void {
    assert.equal(this.#status, undefined, "the process ended");
    const { pid } = this.#daemon;
    const memoryMb = Math.round(peakMemoryMb(pid));
    const descriptors = openDescriptors(pid);
    assert.ok(memoryMb < MEMORY_MB, `${memoryMb} of ${MEMORY_MB} MB`);
    assert.ok(descriptors < DESCRIPTORS, `${descriptors} descriptors`);
  }

  /** Checks that an ordinary request is answered, with retries after refusals. */
  async checkServes(): Promise<void> {
    const endAt = performance.now() + LIMIT_MS;
    let last: unknown;
    while (performance.now() < endAt && this.#status === undefined) {
      last = await this.#send().catch((error: Error) => String(error.cause));
      if (last === 200) return;
      await pause(RETRY_MS);
    }
    assert.fail(`no answer (${last}), exit ${this.#status}`);
  }

  /** Lets a crowd send and stay, and checks the process with it and after it. */
  async bear(
    name: "callers" | "operators" | "peers",
    crowd: {
      readonly connections: number;
      readonly pieces: (connection: number) => Iterable<string>;
    },
  ): Promise<void> {
    const port = await this.port(name);
    const clients = await ClientCrowd.send({ port, ...crowd });
    try {
      await pause(STAY_MS);
      this.checkHolds();
    } finally {
      clients.leave();
    }
    await this.checkServes();
    this.checkHolds();
  }

  async #send(): Promise<number> {
    const response = await fetch(`${this.#daemon.url}/v1/models`, {
      headers: {
        authorization: `Bearer ${this.key}`,
        "umbermast-class": "quote",
      },
      signal: AbortSignal.timeout(LIMIT_MS / 4),
    });
    await response.text();
    return response.status;
  }
}

function soundHeaders(key: string) {
  return {
    Host: HOST,
    Authorization: `Bearer ${key}`,
    "Umbermast-Class": "quote",
    "Content-Type": "application/json",
  };
}

function chunkedHead(key: string): string {
  const headers = { ...soundHeaders(key), "Transfer-Encoding": "chunked" };
  return requestHead(`POST ${CHAT}`, headers);
}

// Guards against bodies that cost many times their bytes.
test("a daemon bears bodies in tiny chunks that do not end", async (t) => {
  const daemon = await startDaemon(t);
  const head = chunkedHead(daemon.key);
  await daemon.bear("callers", {
    connections: 50,
    pieces: () => openBody(head, { chunks: 40_000, chunkBytes: 1 }),
  });
});

// Guards against bodies that are bounded only one by one.
test("a daemon bears bodies in large chunks that do not end", async (t) => {
  const daemon = await startDaemon(t);
  const head = chunkedHead(daemon.key);
  await daemon.bear("callers", {
    connections: 100,
    pieces: () => openBody(head, { chunks: 120, chunkBytes: LARGE_CHUNK }),
  });
});

// Guards against requests that cost much before they are refused.
test("a daemon bears sound requests that are sent ahead", async (t) => {
  const daemon = await startDaemon(t);
  const body = JSON.stringify({
    model: "drafting-llm",
    messages: [{ role: "user", content: "A quote, please" }],
    max_tokens: 5,
  });
  await daemon.bear("callers", {
    connections: 50,
    pieces: (connection) =>
      repeated(4_000, (index) =>
        requestHead(`POST ${CHAT}`, {
          ...soundHeaders(daemon.key),
          "Idempotency-Key": `ahead-${connection}-${index}`,
          "Umbermast-Repeatable": "false",
          "Content-Length": body.length,
        }) + body),
  });
});

// Guards against refusals that cost more than the requests.
test("a daemon bears requests ahead without the usual headers", async (t) => {
  const daemon = await startDaemon(t);
  const head = requestHead(`POST ${CHAT}`, { Host: HOST, "Content-Length": 0 });
  await daemon.bear("callers", {
    connections: 50,
    pieces: () => repeated(20_000, () => head),
  });
});

test("a daemon bears gets ahead without the usual headers", async (t) => {
  const daemon = await startDaemon(t);
  const head = requestHead("GET /v1/models", { Host: HOST });
  await daemon.bear("callers", {
    connections: 50,
    pieces: () => repeated(20_000, () => head),
  });
});

// Guards against heads that no limit counts while they arrive.
test("a daemon bears heads that do not end", async (t) => {
  const daemon = await startDaemon(t);
  await daemon.bear("callers", {
    connections: 290,
    pieces: () => [
      `GET /v1/models HTTP/1.1\r\nHost: ${HOST}\r\n`,
      ...repeated(3_000, () => "a:\r\n"),
    ],
  });
});

// Guards against idle callers that keep all others out.
test("a daemon bears more idle connections than it takes", async (t) => {
  const daemon = await startDaemon(t);
  await daemon.bear("callers", { connections: 600, pieces: () => [] });
});

test("a daemon bears idle connections at its port of operators", async (t) => {
  const daemon = await startDaemon(t);
  await daemon.bear("operators", { connections: 600, pieces: () => [] });
});

test("a daemon bears idle connections at its port of peers", async (t) => {
  const daemon = await startDaemon(t);
  await daemon.bear("peers", { connections: 600, pieces: () => [] });
});

// Guards against bodies of those who are no operators.
test("a daemon bears bodies in tiny chunks at its port of operators", async (t) => {
  const daemon = await startDaemon(t);
  const head = requestHead("POST /table", {
    Host: HOST,
    Authorization: "Bearer nobody",
    "Transfer-Encoding": "chunked",
  });
  await daemon.bear("operators", {
    connections: 50,
    pieces: () => openBody(head, { chunks: 40_000, chunkBytes: 1 }),
  });
});

// Guards against answers of a port for operators that nobody reads.
test("a daemon bears requests ahead at its port of operators", async (t) => {
  const daemon = await startDaemon(t);
  const head = requestHead("GET /metrics", {
    Host: HOST,
    Authorization: `Bearer ${daemon.operatorToken}`,
  });
  await daemon.bear("operators", {
    connections: 20,
    pieces: () => repeated(20_000, () => head),
  });
});

test("a daemon bears refused requests ahead at its port of operators", async (t) => {
  const daemon = await startDaemon(t);
  const head = requestHead("GET /metrics", { Host: HOST });
  await daemon.bear("operators", {
    connections: 50,
    pieces: () => repeated(20_000, () => head),
  });
});

// Guards against frames of peers that do not end.
test("a daemon bears frames that do not end at its port of peers", async (t) => {
  const daemon = await startDaemon(t);
  await daemon.bear("peers", {
    connections: 200,
    pieces: () => ["\0\u000f\0\0", ...repeated(16_000, () => "x".repeat(64))],
  });
});
