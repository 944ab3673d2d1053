import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import type { Table } from "@umbermast/table";
import { fetchJson, type OrderEntry, type StackDaemon } from "../src/mod.ts";
import { deploy, type Deployed, LIMIT } from "./fixtures.ts";

const FLEET = {
  daemons: 3,
  runners: 3,
  plainRunners: 0,
  daemonSettings: { placement: { intervalMs: 200, reportLagMs: 500 } },
  engineConfig: { checksFencing: false, loadMs: 10 },
} as const;

/** The table with one more model in its model service. */
function withModel(table: Table, model: string): Table {
  return {
    ...table,
    services: table.services.map((service) =>
      service.kind === "model"
        ? { ...service, models: [...service.models, model] }
        : service
    ),
  };
}

/** Adds a model to the table in force, which no engine holds. */
async function addModel(deployed: Deployed, model: string): Promise<void> {
  const { stack } = deployed;
  const place = `${stack.platform.url}/objects/tables/main`;
  const { body } = await fetchJson(place);
  const { version, value } = body as {
    readonly version: number;
    readonly value: { readonly table: Table };
  };
  const table = withModel(value.table, model);
  const { status } = await fetchJson(place, {
    method: "PUT",
    headers: { "if-version": `${version}` },
    body: { ...value, table },
  });
  assert.equal(status, 200);
}

/** Orders that reached each engine, oldest first. */
function orders(
  { stack }: Deployed,
): Promise<readonly (readonly OrderEntry[])[]> {
  return Promise.all(stack.runners.map(async ({ url }) => {
    const { body } = await fetchJson(`${url}/orders-ledger`);
    return body as readonly OrderEntry[];
  }));
}

/** Waits until an engine has been ordered to load a model. */
async function loadOf(deployed: Deployed, model: string): Promise<OrderEntry> {
  for (;;) {
    const all = (await orders(deployed)).flat();
    const load = all.find((each) =>
      each.order === "load" && each.model === model
    );
    if (load !== undefined) return load;
  }
}

/** Waits until a daemon holds the lease that passes the test. */
async function holder(
  { stack }: Deployed,
  wanted: (daemon: StackDaemon) => boolean,
): Promise<StackDaemon> {
  const { modelService } = stack.deployment;
  const place =
    `${stack.platform.url}/objects/leases/placement-${modelService}`;
  for (;;) {
    const { body } = await fetchJson(place);
    const { value } = body as { readonly value?: { readonly holder?: string } };
    const found = stack.daemons.find(({ name }) => name === value?.holder);
    if (found !== undefined && wanted(found)) return found;
  }
}

async function logged(daemon: StackDaemon, event: string): Promise<void> {
  while (!readFileSync(daemon.logFile, "utf8").includes(event)) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("orders to engines that ignore fencing numbers", LIMIT, () => {
  it("load a model that is wanted and held nowhere, once", async (t) => {
    const deployed = await deploy(t, {
      ...FLEET,
      table: (table) => withModel(table, "second"),
    });
    await loadOf(deployed, "second");
    await addModel(deployed, "third");
    await loadOf(deployed, "third");
    const all = (await orders(deployed)).flat();
    const loads = all.filter(({ model }) => model === "second");
    assert.equal(loads.length, 1);
  });

  // The holder of the lease is stopped for longer than the lease lasts, and
  // another daemon takes over and gives orders. The first one wakes and still
  // believes that it holds the lease. Its orders must not reach an engine after
  // those of the newer holder, which the engines would not refuse.
  it("never come from a holder that was paused past its lease", async (t) => {
    const deployed = await deploy(t, {
      ...FLEET,
      table: (table) => withModel(table, "second"),
    });
    const before = await loadOf(deployed, "second");
    const paused = await holder(deployed, () => true);
    paused.child.kill("SIGSTOP");
    t.after(() => paused.child.kill("SIGCONT"));
    await holder(deployed, ({ name }) => name !== paused.name);
    await addModel(deployed, "third");
    const after = await loadOf(deployed, "third");
    assert.ok(after.fencing > before.fencing);
    paused.child.kill("SIGCONT");
    await logged(paused, "placement_lease_ended");
    await addModel(deployed, "fourth");
    await loadOf(deployed, "fourth");
    for (const entries of await orders(deployed)) {
      const numbers = entries.map(({ fencing }) => fencing);
      assert.deepEqual(numbers, numbers.toSorted((a, b) => a - b));
    }
  });

  // With the store down nobody can renew the lease, nor learn that another one
  // holds it: no more orders, until the store is back.
  it("stop when the store is down for longer than the lease", async (t) => {
    const deployed = await deploy(t, {
      ...FLEET,
      table: (table) => withModel(table, "second"),
    });
    const { stack } = deployed;
    await loadOf(deployed, "second");
    const held = await holder(deployed, () => true);
    const down = { fault: "down", part: "objects", seconds: 600 };
    await stack.control(stack.platform.url, down);
    await logged(held, "placement_lease_ended");
    await stack.control(stack.platform.url, { fault: "none" });
    await addModel(deployed, "third");
    const third = await loadOf(deployed, "third");
    const all = (await orders(deployed)).flat();
    const second = all.find(({ model }) => model === "second");
    assert.ok(third.fencing > (second?.fencing ?? 0));
  });
});
