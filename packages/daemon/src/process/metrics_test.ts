import assert from "node:assert/strict";
import { test } from "node:test";
import { Metrics } from "./metrics.ts";

function exampleMetrics(): Metrics {
  const metrics = new Metrics();
  metrics.observeGauges(() => ({
    requestsInFlight: 3,
    callerConnections: 4,
    tableVersion: 17,
    members: { alive: 2, suspect: 1 },
    runners: { "drafting-llm": 8 },
  }));
  return metrics;
}

test("requests are counted by class, service and outcome, in seconds", async () => {
  const metrics = exampleMetrics();
  metrics.requestEnded({
    class: "quote",
    service: "drafting-llm",
    outcome: "complete",
    durationMs: 1500,
    answerMs: 20,
  });
  metrics.requestRefused("model_unknown");
  const { body } = await metrics.render();
  const labels = 'class="quote",service="drafting-llm"';
  const lines = body.split("\n");
  for (
    const line of [
      `umbermast_requests_total{${labels},outcome="complete"} 1`,
      `umbermast_request_duration_seconds_sum{${labels}} 1.5`,
      `umbermast_time_to_answer_seconds_sum{${labels}} 0.02`,
      'umbermast_requests_refused_total{code="model_unknown"} 1',
      "umbermast_requests_in_flight 3",
      "umbermast_table_version 17",
      'umbermast_members{state="suspect"} 1',
      'umbermast_runners{service="drafting-llm"} 8',
    ]
  ) {
    assert.ok(lines.includes(line), line);
  }
});
