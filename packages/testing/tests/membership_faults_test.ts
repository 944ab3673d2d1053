import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { FaultProxy } from "../src/process/fault_proxy.ts";
import { freePort } from "../src/process/free_port.ts";
import {
  MemberProcess,
  type MemberStart,
  relayDatagrams,
} from "./member_fixture.ts";

/** Runs a test with member processes that end with it. */
async function withMembers(
  run: (start: (options: MemberStart) => MemberProcess) => Promise<void>,
): Promise<void> {
  const started: MemberProcess[] = [];
  try {
    await run((options) => {
      const member = new MemberProcess(options);
      started.push(member);
      return member;
    });
  } finally {
    await Promise.all(started.map((member) => member.end()));
  }
}

function sees(...names: readonly string[]) {
  return (states: readonly string[]) =>
    names.every((name) => states.includes(`${name} alive`));
}

function lacks(name: string) {
  return (states: readonly string[]) =>
    !states.some((state) => state.startsWith(`${name} `));
}

// Another process has the port that a member is to listen on. The member could
// not start, but its channel to the test kept it alive, and the test waited for
// its first word for ever.
test("a member process that cannot listen fails its test", async () => {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  try {
    await withMembers(async (start) => {
      const member = start({ name: "b", advertised: port, listened: port });
      await assert.rejects(member.self(), /"b" ended with 1/);
    });
  } finally {
    server.close();
  }
});

test("a silent link between processes is replaced, and its far end never called down", async () => {
  // a reaches b through a proxy, which loses track of their open connection and
  // swallows all that either sends on it; new connections work. a's request
  // fails, the next one is answered over a new connection, and b stays in a's
  // view all the time.
  await withMembers(async (start) => {
    const listened = await freePort();
    const target = { address: "127.0.0.1", port: listened };
    const proxy = await FaultProxy.start(target);
    const relay = await relayDatagrams(proxy.port, listened);
    try {
      const b = start({ name: "b", advertised: proxy.port, listened });
      const a = start({ name: "a", knows: [await b.self()] });
      await a.self();
      assert.equal(await a.request("b"), "hello");
      proxy.order({ fault: "silent" });
      assert.equal(await a.request("b"), "closed");
      assert.equal(await a.request("b"), "hello");
      for (const notice of a.notices) {
        if (notice.kind === "link") assert.equal(notice.state, "up");
        if (notice.kind === "event" && notice.event.type === "changed") {
          assert.notEqual(notice.event.health, "removed");
        }
      }
    } finally {
      relay.close();
      await proxy.close();
    }
  });
});

test("a stopped process is removed, and returns when it is woken", async () => {
  // c is stopped until a and b have removed it. When it is woken it finds its
  // own gap, says that it is alive, and takes nobody out for its own silence.
  await withMembers(async (start) => {
    const a = start({ name: "a" });
    const knows = [await a.self()];
    const b = start({ name: "b", knows });
    const c = start({ name: "c", knows });
    await Promise.all([
      a.view(sees("a", "b", "c")),
      b.view(sees("a", "b", "c")),
      c.view(sees("a", "b", "c")),
    ]);
    const from = a.notices.length;
    c.signal("SIGSTOP");
    await Promise.all([a.view(lacks("c"), from), b.view(lacks("c"))]);
    const woken = a.notices.length;
    c.signal("SIGCONT");
    await a.view(sees("a", "b", "c"), woken);
    await c.notice((it) =>
      it.kind === "event" && it.event.type === "paused" ? true : undefined
    );
    for (const notice of c.notices) {
      if (notice.kind !== "event" || notice.event.type !== "changed") continue;
      assert.notEqual(notice.event.health, "removed");
    }
  });
});

test("a process that takes over a dead one's port takes its place in the view", async () => {
  // b dies without a word, and d starts at b's address and port. d's first word
  // ends b, and what was meant for b is not given to d.
  await withMembers(async (start) => {
    const a = start({ name: "a" });
    const knows = [await a.self()];
    const b = start({ name: "b", knows });
    const { port } = await b.self();
    await a.view(sees("b"));
    await b.end();
    const d = start({ name: "d", advertised: port, knows });
    await d.self();
    await a.view((states) => sees("d")(states) && lacks("b")(states));
    assert.equal(await a.request("d"), "hello");
    assert.equal(await a.request("b"), "no-link");
  });
});
