import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Stack } from "../src/mod.ts";
import { deploy, LIMIT } from "./fixtures.ts";
import { setWeight, umbermastctl } from "./table_fixtures.ts";

const FLEET = { daemons: 2, runners: 2, plainRunners: 1 } as const;

interface Named {
  readonly name: string;
}

function names(list: unknown): readonly string[] {
  return (list as readonly Named[]).map(({ name }) => name).sort();
}

/** Waits until a daemon sees as many daemons as there are. */
async function membersAt(stack: Stack, count: number): Promise<void> {
  for (let seen = 0; seen < count;) {
    const { json } = await umbermastctl(stack, ["daemons"]);
    seen = names(json["daemons"]).length;
  }
}

describe("umbermastctl against real daemons", LIMIT, () => {
  it("shows daemons, runners and each daemon's status", async (t) => {
    const { stack } = await deploy(t, FLEET);
    await membersAt(stack, FLEET.daemons);
    const daemons = await umbermastctl(stack, ["daemons"]);
    assert.deepEqual(names(daemons.json["daemons"]), names(stack.daemons));
    const runners = await umbermastctl(stack, ["runners"]);
    assert.deepEqual(names(runners.json["runners"]), names(stack.runners));
    const status = await umbermastctl(stack, ["status"]);
    const shown = status.json["daemons"] as readonly { status: Named }[];
    assert.deepEqual(
      names(shown.map((each) => each.status)),
      names(stack.daemons),
    );
  });

  it("tells why a request went where it went", async (t) => {
    const { stack, caller, model } = await deploy(t, FLEET);
    const workspace = stack.table.workspaces[0]?.name ?? "";
    const answer = await caller(0, workspace).chat(model, { testTokens: 2 });
    const requestId = answer.requestId ?? "";
    const why = await umbermastctl(stack, ["why", requestId]);
    assert.equal(why.exit, 0);
    assert.ok(JSON.stringify(why.json["decisions"]).includes(requestId));
    const unknown = await umbermastctl(stack, ["why", "nothing"]);
    assert.equal(unknown.exit, 1);
  });

  // The tool knows the URL of one daemon only. The other one is live, and the
  // tool must not say that the edit is in force everywhere without asking it.
  it("names the live daemons that it could not ask when --wait gives up", async (t) => {
    const { stack, daemon } = await deploy(t, FLEET);
    await membersAt(stack, FLEET.daemons);
    const [row] = stack.table.rows;
    const { exit, json } = await umbermastctl(stack, [
      "table",
      "set",
      row?.class ?? "",
      row?.workspace ?? "",
      "weight=9",
      "--yes",
      "--wait",
      "--wait-timeout",
      "0.1",
    ], { daemons: [daemon(0)] });
    assert.equal(json["accepted"], true);
    assert.equal(exit, 1);
    assert.deepEqual(names(json["behind"]), [daemon(1).name]);
  });

  it("keeps who, when and what, and rolls back by a new edit", async (t) => {
    const { stack } = await deploy(t, FLEET);
    const first = stack.table.rows[0]?.weight;
    await setWeight(stack, 31);
    const history = await umbermastctl(stack, ["table", "history"]);
    const entries = history.json["entries"] as readonly {
      editor: string;
      editId: string;
    }[];
    assert.equal(entries[0]?.editor, "ana");
    const before = entries[1]?.editId ?? "";
    const back = await umbermastctl(stack, [
      "table",
      "rollback",
      before,
      "--yes",
    ]);
    assert.equal(back.exit, 0);
    const now = await umbermastctl(stack, ["table", "get"]);
    const table = now.json["table"] as typeof stack.table;
    assert.equal(table.rows[0]?.weight, first);
  });

  it("exits with 4 when the platform is down, and changes nothing", async (t) => {
    const { stack } = await deploy(t, FLEET);
    const down = { fault: "down", part: "objects", seconds: 600 };
    await stack.control(stack.platform.url, down);
    const get = await umbermastctl(stack, ["table", "get"]);
    assert.equal(get.exit, 4);
  });
});
