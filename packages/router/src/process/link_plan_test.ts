import assert from "node:assert/strict";
import { test } from "node:test";
import { inRankOrder, ranksBefore } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { DAEMONS_PER_RELAY, planLinks } from "./link_plan.ts";

function domainOf(name: string, daemons: number): readonly Contact[] {
  return Array.from({ length: daemons }, (_, index) => ({
    name: `${name}-${index}`,
    incarnation: "1",
    address: `10.0.0.${index}:1`,
    failureDomain: name,
    linkMbps: 10 + index % 7,
  }));
}

function planOf(own: Contact, fleet: readonly Contact[]) {
  const others = fleet.filter((contact) => contact !== own);
  const size =
    fleet.filter(({ failureDomain }) => failureDomain === own.failureDomain)
      .length;
  return planLinks(own, others, size);
}

test("no relay has more than twice the planned number of children", () => {
  const domain = domainOf("a", 63);
  const children = new Map<string, number>();
  for (const own of domain) {
    const { parent } = planOf(own, domain);
    if (parent === undefined) continue;
    children.set(parent.name, (children.get(parent.name) ?? 0) + 1);
  }
  const most = Math.max(...children.values());
  assert.ok(most <= 2 * DAEMONS_PER_RELAY, `${most} children`);
});

// Guards against forwarding cycles. Two daemons that are each other's parent would
// forward the same loads to each other and count them again and again.
test("a parent ranks before its child, whichever contacts are known", () => {
  const domain = domainOf("a", 40);
  for (const own of domain) {
    for (let step = 1; step < 7; step++) {
      const known = domain.filter((contact, index) =>
        contact !== own && index % step === 0
      );
      const { parent } = planLinks(own, known, known.length + 1);
      if (parent !== undefined) assert.ok(ranksBefore(parent, own));
    }
  }
});

test("the head of a failure domain links to the heads of the others", () => {
  const fleet = ["a", "b", "c"].flatMap((name) => domainOf(name, 30));
  const heads = ["a", "b", "c"].map((name) =>
    inRankOrder(fleet.filter(({ failureDomain }) => failureDomain === name))[0]!
  );
  const plan = planOf(heads[0]!, fleet);
  assert.equal(plan.parent, undefined);
  assert.deepEqual(plan.heads, heads.slice(1));
});

test("the only daemon of a failure domain is a head", () => {
  const [own] = domainOf("a", 1);
  const plan = planLinks(own!, domainOf("b", 3), 1);
  assert.equal(plan.heads.length, 1);
});

test("every child has a spare other than its parent", () => {
  const domain = domainOf("a", 30);
  for (const own of domain) {
    const { parent, spare } = planOf(own, domain);
    if (parent === undefined) continue;
    assert.ok(spare !== undefined && spare !== parent && spare !== own);
  }
});
