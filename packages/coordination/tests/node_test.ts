import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import { startNode } from "../src/node.ts";
import type { CoordinationNode } from "../src/node.ts";
import { fixedHostList } from "../src/process/host_list.ts";
import type { Host, HostList } from "../src/process/host_list.ts";
import type { View } from "../src/process/membership.ts";

const EMPTY_HOST_LIST = fixedHostList([]);

function nodeNamed(name: string, hostList: HostList) {
  return startNode({
    name,
    address: "127.0.0.1",
    port: 0,
    region: "kingston",
    failureDomain: "portmore",
    incarnation: 1,
    key: "a key for tests only",
    hostList,
    probes: { periodMs: 50, answerMs: 20, gossipMs: 10 },
  });
}

function hostListOf(node: CoordinationNode): HostList {
  const host: Host = {
    ...node.membership.self,
    role: "entry",
    state: "live",
  };
  return fixedHostList([host]);
}

/** Waits for a view in which a member has a state; undefined means absent. */
function awaitState(
  node: CoordinationNode,
  name: string,
  state: string | undefined,
): Effect.Effect<void> {
  const matches = (view: View) =>
    view.members.find(({ member }) => member.name === name)?.state === state;
  return Effect.callback((resume) => {
    if (matches(node.membership.view())) return resume(Effect.void);
    const unsubscribe = node.membership.subscribe((view) => {
      if (!matches(view)) return;
      unsubscribe();
      resume(Effect.void);
    });
  });
}

test("two nodes discover each other, exchange a message, and one leaves", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* nodeNamed("a", EMPTY_HOST_LIST);
    const scope = yield* Scope.make();
    const b = yield* nodeNamed("b", hostListOf(a)).pipe(Scope.provide(scope));
    yield* awaitState(a, "b", "alive");
    yield* awaitState(b, "a", "alive");
    a.peers.handle("hello", (from) => Effect.succeed(`hello ${from}`));
    const response = yield* b.peers.request("a", {
      channel: "hello",
      body: null,
    }, { timeoutMs: 10_000 });
    assert.equal(response, "hello b");
    yield* b.leave;
    yield* awaitState(a, "b", "leaving");
    yield* Scope.close(scope, Exit.void);
    yield* awaitState(a, "b", undefined);
  }))));

test("an address that cannot be listened on is named in the error", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const failure = yield* startNode({
      name: "a",
      address: "203.0.113.1",
      port: 7000,
      region: "kingston",
      failureDomain: "portmore",
      key: "a key for tests only",
      hostList: EMPTY_HOST_LIST,
    }).pipe(Effect.flip);
    assert.equal(failure._tag, "ListenFailed");
    assert.match(
      failure.message,
      /^Cannot listen on "203\.0\.113\.1" port 7000: /,
    );
  }))));
