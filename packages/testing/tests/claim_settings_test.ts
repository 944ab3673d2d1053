import { HttpStore } from "@umbermast/coordination";
import assert from "node:assert/strict";
import { it } from "node:test";
import * as Effect from "effect/Effect";
import { startStack } from "../src/mod.ts";
import { LIMIT } from "./fixtures.ts";

/** The claims' layout, once a daemon has written it. */
async function layoutOf(store: HttpStore): Promise<unknown> {
  for (;;) {
    const found = await Effect.runPromise(store.read("claims", "layout"));
    if (found !== undefined) return found.value;
  }
}

it("a daemon makes claims by its settings", LIMIT, async (t) => {
  const claims = { partitions: 3, windowMs: 20_000 };
  const stack = await startStack({
    daemons: 1,
    runners: 0,
    plainRunners: 0,
    daemonSettings: { claims },
  });
  const store = new HttpStore({ url: stack.platform.url });
  t.after(async () => {
    store.close();
    await stack.close();
  });

  assert.deepEqual(await layoutOf(store), claims);
});
