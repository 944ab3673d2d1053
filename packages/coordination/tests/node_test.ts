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

const EMPTY = fixedHostList([]);

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

function listing(node: CoordinationNode): HostList {
  const host: Host = {
    ...node.membership.self,
    role: "entry",
    state: "live",
  };
  return fixedHostList([host]);
}

/** Waits for a view in which the wanted member has the wanted state. */
function awaitState(
  node: CoordinationNode,
  name: string,
  state: string | undefined,
): Effect.Effect<void> {
  const holds = (view: View) =>
    view.members.find(({ member }) => member.name === name)?.state === state;
  return Effect.callback((resume) => {
    if (holds(node.membership.view())) return resume(Effect.void);
    const end = node.membership.subscribe((view) => {
      if (!holds(view)) return;
      end();
      resume(Effect.void);
    });
  });
}

test("two nodes find each other, talk, and part", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* nodeNamed("a", EMPTY);
    const scope = yield* Scope.make();
    const b = yield* nodeNamed("b", listing(a)).pipe(Scope.provide(scope));
    yield* awaitState(a, "b", "alive");
    yield* awaitState(b, "a", "alive");
    a.peers.handle("hello", (from) => Effect.succeed(`hello ${from}`));
    const answer = yield* b.peers.request("a", {
      channel: "hello",
      body: null,
    }, { timeoutMs: 10_000 });
    assert.equal(answer, "hello b");
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
      hostList: EMPTY,
    }).pipe(Effect.flip);
    assert.equal(failure._tag, "ListenFailed");
    assert.match(
      failure.message,
      /^Cannot listen on "203\.0\.113\.1" port 7000: /,
    );
  }))));
