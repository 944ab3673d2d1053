/**
 * A member process for tests: the coordination library alone, driven over IPC.
 * Arguments: its name and, when others dial it through a relay, the port that
 * it advertises and the one that it listens on.
 *
 * @module
 */
import process from "node:process";
import * as Effect from "effect/Effect";
import { fixedHostList, startNode } from "@umbermast/coordination";
import type { MemberNotice, MemberOrder } from "./member_fixture.ts";

const [name = "", advertised = "0", listened = advertised, known = "[]"] =
  process.argv.slice(2);

function tell(notice: MemberNotice): void {
  process.send?.(notice);
}

const program = Effect.gen(function* () {
  const address = "127.0.0.1";
  const node = yield* startNode({
    name,
    address,
    port: Number(advertised),
    listen: { address, port: Number(listened) },
    region: "kingston",
    failureDomain: "portmore",
    key: "a key for tests only",
    hostList: fixedHostList(JSON.parse(known)),
    onEvent: (event) => tell({ kind: "event", event }),
  });
  const run = Effect.runForkWith(yield* Effect.context());
  node.peers.handle("echo", (_from, message) => Effect.succeed(message));
  node.peers.subscribe((peer, state) => tell({ kind: "link", peer, state }));
  node.membership.subscribe(({ members }) => {
    const states = members.map((it) => `${it.member.name} ${it.state}`);
    tell({ kind: "view", states });
  });
  process.on("message", (order: MemberOrder) => {
    const message = { channel: "echo", body: "hello" };
    const ask = node.peers.request(order.to, message, { timeoutMs: 30_000 });
    run(ask.pipe(
      Effect.match({
        onSuccess: String,
        onFailure: ({ reason }) => reason,
      }),
      Effect.map((answer) => tell({ kind: "answer", answer })),
    ));
  });
  tell({ kind: "ready", host: node.membership.self });
  yield* Effect.never;
});

process.on("disconnect", () => process.exit(0));
// The channel to the test would keep a process alive that could not start.
Effect.runPromise(Effect.scoped(program)).catch((error: unknown) => {
  console.error(`Cannot run member "${name}": ${JSON.stringify(error)}`);
  process.exit(1);
});
