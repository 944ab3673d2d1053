/**
 * One member process of `bench membership`: the coordination library alone.
 * Arguments: the member's name and failure domain. It ends with its parent.
 *
 * @module
 */
import process from "node:process";
import * as Effect from "effect/Effect";
import type {
  CoordinationNode,
  MembershipEvent,
} from "@umbermast/coordination";
import { startNode } from "@umbermast/coordination";
import { SettableHostList } from "@umbermast/coordination/testing";
import type { MemberNotice, MemberOrder } from "./membership_message.ts";

const [name = "", failureDomain = ""] = process.argv.slice(2);

function tell(notice: MemberNotice): void {
  process.send?.(notice);
}

function tellEvent(event: MembershipEvent): void {
  if (event.type !== "changed") return;
  if (event.health === "alive" && !event.leaving) return;
  const state = event.leaving && event.health === "alive"
    ? "leaving"
    : event.health;
  if (state === "alive") return;
  tell({ kind: "changed", name: event.name, state, at: Date.now() });
}

function tellSample(node: CoordinationNode, id: number): void {
  const { user, system } = process.cpuUsage();
  const memory = process.memoryUsage();
  tell({
    kind: "sample",
    sample: {
      id,
      cpuMicros: user + system,
      rssBytes: memory.rss,
      heapBytes: memory.heapUsed,
      traffic: node.traffic(),
      members: node.membership.view().members.length,
    },
  });
}

const program = Effect.gen(function* () {
  const list = new SettableHostList();
  const node = yield* startNode({
    name,
    address: "127.0.0.1",
    port: 0,
    region: "kingston",
    failureDomain,
    key: "bench membership",
    hostList: list,
    onEvent: tellEvent,
  });
  const run = Effect.runForkWith(yield* Effect.context());
  process.on("message", (order: MemberOrder) => {
    if (order.kind === "hosts") list.set(order.hosts);
    if (order.kind === "sample") tellSample(node, order.id);
    if (order.kind === "leave") run(node.leave);
  });
  tell({
    kind: "ready",
    host: { ...node.membership.self, role: "entry", state: "live" },
  });
  yield* Effect.never;
});

process.on("disconnect", () => process.exit(0));
Effect.runFork(Effect.scoped(program));
