import assert from "node:assert/strict";
import { test } from "node:test";
import type { Row } from "@umbermast/table";
import { fetchJson } from "../src/mod.ts";
import type { StackOptions } from "../src/mod.ts";
import type { RecordedCaller } from "./golden_caller.ts";
import { wholeAnswer } from "./golden_engine.ts";
import { chatText, record } from "./golden_fixture.ts";
import type { Recorded } from "./golden_fixture.ts";
import { assertGolden } from "./golden_text.ts";

const SCHEDULING = { switches: { adaptiveSlots: false, headroom: false } };

/** One slot at the model's runner, and a short class for quotes. */
function oneSlot(timeoutMs: number, row: Partial<Row> = {}): StackOptions {
  return {
    daemonSettings: { scheduling: SCHEDULING },
    table: (table) => ({
      ...table,
      services: table.services.map((it) => ({ ...it, slotsPerRunner: 1 })),
      classes: table.classes.map((it) =>
        it.name === "quote" ? { ...it, timeoutMs } : it
      ),
      rows: table.rows.map((it) =>
        it.workspace === "front-office" && it.class === "quote"
          ? { ...it, ...row }
          : it
      ),
    }),
  };
}

/** Waits until the daemon holds as many requests. */
async function holdsRequests(recorded: Recorded, count: number): Promise<void> {
  const { stack, daemon } = recorded;
  const headers = { authorization: `Bearer ${stack.operatorToken}` };
  for (;;) {
    const { body } = await fetchJson(`${daemon.operatorUrl}/status`, {
      headers,
    });
    const { requestsInFlight } = body as { readonly requestsInFlight: number };
    if (requestsInFlight === count) return;
  }
}

/** So that a regenerated file cannot hold another error. */
function assertCode(caller: RecordedCaller, code: string): void {
  assert.match(caller.gets.text, new RegExp(`"code":"${code}"`));
}

const SHORT_MS = 300;
const LONG_MS = 10_000;

// The only slot is held by a long request when a second one comes. Its class's
// timeout passes while it waits, so it is refused and never sent.
test("a request whose deadline passes while it waits", async (context) => {
  const recorded = await record(context, oneSlot(SHORT_MS));
  const { model } = recorded;
  model.play = () => {};
  const first = await recorded.caller();
  const arrived = model.arrived();
  first.send(chatText(recorded, {
    headers: ["connection: close", "umbermast-class: cut-sheet"],
  }));
  await arrived;
  model.parts = [];
  const second = await recorded.caller();
  second.send(chatText(recorded));
  await second.ended();
  assertCode(second, "deadline_passed");
  assertGolden("errors/deadline_passed", [
    { title: "another request holds", text: "the only slot" },
    second.sends,
    ...model.parts,
    second.gets,
  ]);
  first.leave();
});

// The workspace may send one quote in a hundred seconds. One has been answered
// and another waits for its turn; the third could only start long after its
// timeout, so it is refused at once.
test("a request beyond its workspace's limit", async (context) => {
  const row = { requestsPerSecond: 0.01 };
  const recorded = await record(context, oneSlot(LONG_MS, row));
  const { model } = recorded;
  model.play = (socket, request) => model.send(socket, wholeAnswer(request));
  const [first, second, third] = await Promise.all([
    recorded.caller(),
    recorded.caller(),
    recorded.caller(),
  ]);
  first.send(chatText(recorded));
  await first.ended();
  model.parts = [];
  second.send(chatText(recorded));
  await holdsRequests(recorded, 1);
  third.send(chatText(recorded));
  await third.ended();
  second.leave();
  assertCode(third, "limit_reached");
  assertGolden("errors/limit_reached", [
    { title: "another request has used", text: "the row's limit" },
    third.sends,
    ...model.parts,
    third.gets,
  ]);
});
