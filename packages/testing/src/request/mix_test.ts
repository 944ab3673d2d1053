import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findDeployment } from "../process/deployment.ts";
import type { Outcome } from "./answer.ts";
import { drawMix } from "./mix.ts";
import { mixFindings, type MixResult } from "./mix_findings.ts";

function resultsWith(outcomes: readonly Outcome[]): readonly MixResult[] {
  const calls = drawMix(findDeployment("cooperative"), {
    calls: outcomes.length,
    seed: 1,
  });
  return calls.map((call, at) => ({
    call,
    answer: {
      outcome: outcomes[at] ?? "complete",
      status: 200,
      requestId: `r${at}`,
      tokens: 1,
      wholeMs: 1,
    },
  }));
}

describe("mix", () => {
  it("draws the same calls for the same seed", () => {
    const metro = findDeployment("metro");
    const draw = (seed: number) => drawMix(metro, { calls: 50, seed });
    assert.deepEqual(draw(4), draw(4));
    assert.notDeepEqual(draw(4), draw(5));
  });

  it("names each answer that is not whole, and each that is missing", () => {
    const results = resultsWith(["complete", "corrupt", "truncated"]);
    const findings = mixFindings(results, { sent: 4 });
    assert.equal(findings.length, 3);
    assert.match(findings[0] ?? "", /r1: corrupt/);
    assert.match(findings[1] ?? "", /r2: truncated/);
    assert.deepEqual(mixFindings(resultsWith(["complete"]), { sent: 1 }), []);
  });
});
