import assert from "node:assert/strict";
import { connectClient } from "@umbermast/coordination/client_socket";
import { once } from "node:events";
import { Agent } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, it, type TestContext } from "node:test";
import {
  setImmediate as nextTurn,
  setTimeout as pause,
} from "node:timers/promises";
import { Caller } from "../client.ts";
import { startPlainService } from "../plain_service.ts";
import { FaultProxy } from "./fault_proxy.ts";
import { fetchJson } from "./json_client.ts";
import type { LedgerEntry } from "./ledger.ts";

async function serviceBehindProxy(t: TestContext) {
  const service = await startPlainService({ serviceMs: 0 });
  const proxy = await FaultProxy.start({
    address: "127.0.0.1",
    port: service.port,
  });
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const kept = new Caller(proxy.url, { agent });
  t.after(async () => {
    kept.close();
    await proxy.close();
    await service.close();
  });
  return {
    proxy,
    /** Sends on one connection that is kept open. */
    kept: (requestId: string, signal?: AbortSignal) =>
      kept.plain("/x", {
        headers: { "umbermast-request-id": requestId },
        ...(signal === undefined ? {} : { signal }),
      }),
    /** Sends on a connection of its own. */
    fresh: async (requestId: string) => {
      const caller = new Caller(proxy.url);
      const headers = { "umbermast-request-id": requestId };
      const answer = await caller.plain("/x", { headers });
      caller.close();
      return answer;
    },
    /** Requests that have run to their end. */
    ids: async () => {
      const { body } = await fetchJson(`${service.url}/ledger`);
      return (body as readonly LedgerEntry[])
        .filter((entry) => entry.end === "complete")
        .map((entry) => entry.requestId);
    },
  };
}

/** Connections that each ending is tried on, as timing may hide a fault in some. */
const TRIES = 10;
/** Turns of the event loop in which an end of a connection passes. */
const TURNS = 10;

/** Starts a proxy before a server that answers "part" and ends the connection. */
async function proxyBefore(
  t: TestContext,
  end: (connection: Socket) => void,
): Promise<FaultProxy> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const proxy = await FaultProxy.start({ address: "127.0.0.1", port });
  t.after(async () => {
    await proxy.close();
    server.close();
  });
  server.on("connection", (connection) => {
    connection.on("error", () => {});
    // A reset before the proxy is connected would take the part along.
    connection.once("data", () => {
      connection.write("part");
      end(connection);
    });
  });
  return proxy;
}

function sendTo(proxy: FaultProxy): Socket {
  const socket = connectClient({ host: "127.0.0.1", port: proxy.port });
  socket.on("error", () => {});
  socket.write("request");
  return socket;
}

/** Returns what connections bring, and how they end. */
async function endings(proxy: FaultProxy): Promise<readonly string[]> {
  const ends: string[] = [];
  while (ends.length < TRIES) {
    const socket = sendTo(proxy);
    let got = "";
    socket.on("data", (chunk) => got += chunk);
    const error = await new Promise<Error | undefined>((resolve) => {
      socket.on("error", resolve);
      socket.on("close", () => resolve(undefined));
    });
    ends.push(`${got} ${(error as NodeJS.ErrnoException)?.code ?? "end"}`);
  }
  return ends;
}

describe("fault proxy", () => {
  // Guards against a proxy that turns a reset into an ordinary end.
  it("passes on a reset right behind the last bytes", async (t) => {
    const proxy = await proxyBefore(t, (each) => void each.resetAndDestroy());
    const expected = Array.from({ length: TRIES }, () => "part ECONNRESET");
    assert.deepEqual(await endings(proxy), expected);
  });

  it("passes on an ordinary end", async (t) => {
    const proxy = await proxyBefore(t, (each) => void each.end());
    const expected = Array.from({ length: TRIES }, () => "part end");
    assert.deepEqual(await endings(proxy), expected);
  });

  // Guards against a reset that Node refuses, after which it keeps the connection.
  it("lets go of connections that it cuts as they end", async (t) => {
    let ended = () => {};
    const proxy = await proxyBefore(t, (each) => each.end(() => ended()));
    for (let sent = 0; sent < TRIES; sent++) {
      proxy.order({ fault: "reorder", holdMs: 60_000 });
      await new Promise<void>((resolve) => {
        ended = resolve;
        sendTo(proxy);
      });
      for (let turn = 0; turn < TURNS; turn++) await nextTurn();
      proxy.order({ fault: "none" });
      proxy.order({ fault: "cut" });
    }
    while (proxy.open > 0) await nextTurn();
  });

  // An open connection goes silent: the request sent on it never arrives and no
  // error tells so. A new connection works at once.
  it("silences open connections for good, while new ones work", async (t) => {
    const { proxy, kept, fresh, ids } = await serviceBehindProxy(t);
    assert.equal((await kept("before")).outcome, "complete");
    proxy.order({ fault: "silent" });
    const leave = new AbortController();
    const silent = kept("silent", leave.signal);
    assert.equal((await fresh("new")).outcome, "complete");
    proxy.order({ fault: "none" });
    leave.abort();
    assert.equal((await silent).outcome, "cancelled");
    assert.deepEqual(await ids(), ["before", "new"]);
  });

  // The answer's way is swallowed and the request's is not: the request runs
  // and its caller hears nothing.
  it("silences one direction", async (t) => {
    const { proxy, kept, fresh, ids } = await serviceBehindProxy(t);
    await kept("before");
    proxy.order({ fault: "silent", direction: "down" });
    const leave = new AbortController();
    const silent = kept("silent", leave.signal);
    while (!(await ids()).includes("silent"));
    assert.equal((await fresh("new")).outcome, "complete");
    leave.abort();
    assert.equal((await silent).outcome, "cancelled");
  });

  // A network that swallows all: who connects anew learns of nothing either.
  it("silences new connections, too, for a while", async (t) => {
    const { proxy, kept, fresh, ids } = await serviceBehindProxy(t);
    proxy.order({ fault: "silent", seconds: 60 });
    const leave = new AbortController();
    const silent = kept("silent", leave.signal);
    await pause(50);
    leave.abort();
    assert.equal((await silent).outcome, "cancelled");
    proxy.order({ fault: "none" });
    assert.equal((await fresh("new")).outcome, "complete");
    assert.deepEqual(await ids(), ["new"]);
  });

  it("loses one reply of a request that ran", async (t) => {
    const { proxy, fresh, ids } = await serviceBehindProxy(t);
    proxy.order({ fault: "lose-reply" });
    assert.equal((await fresh("lost")).outcome, "unknown");
    assert.equal((await fresh("next")).outcome, "complete");
    assert.deepEqual(await ids(), ["lost", "next"]);
  });

  it("holds an answer back whole until later ones have passed", async (t) => {
    const { proxy, kept, fresh, ids } = await serviceBehindProxy(t);
    proxy.order({ fault: "reorder", holdMs: 600_000 });
    const held = kept("held");
    while (!(await ids()).includes("held"));
    assert.equal((await fresh("passing")).outcome, "complete");
    proxy.order({ fault: "none" });
    assert.equal((await held).outcome, "complete");
  });
});
