/**
 * `bench arrivals`: what a mix would send, without sending it.
 *
 * @module
 */
import { DEPLOYMENT_NAMES, type DeploymentName } from "@umbermast/testing";
import { type Arrival, arrivals } from "./arrivals.ts";
import { mixOf } from "./arrivals_mixes.ts";
import type { Experiment } from "./experiment.ts";
import { median, round } from "./report.ts";

interface ClassSummary {
  readonly class: string;
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly medianOutput: number | undefined;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summaryOf(name: string, sent: readonly Arrival[]): ClassSummary {
  const own = sent.filter((arrival) => arrival.class === name);
  const outputs = own.map((arrival) => arrival.outputTokens);
  return {
    class: name,
    requests: own.length,
    promptTokens: sum(own.map((arrival) => arrival.promptTokens)),
    outputTokens: sum(outputs),
    medianOutput: median(outputs),
  };
}

function deploymentOf(name: string): DeploymentName {
  const found = DEPLOYMENT_NAMES.find((known) => known === name);
  if (found !== undefined) return found;
  const names = DEPLOYMENT_NAMES.map((known) => `"${known}"`).join(" or ");
  throw new RangeError(`Cannot find mix "${name}": expected ${names}`);
}

/** Counts the requests and tokens of a mix. */
export const experiment: Experiment = {
  name: "arrivals",
  summary: "Count what a deployment's mix sends, without sending it",
  options: [
    { name: "mix", summary: "cooperative or metro", fallback: "cooperative" },
    { name: "seed", summary: "seed of the arrivals", fallback: 1 },
    { name: "seconds", summary: "length of the calm phase", fallback: 60 },
  ],
  run(settings) {
    const mix = mixOf(deploymentOf(settings.text("mix")));
    const seconds = settings.number("seconds");
    const sent = arrivals(mix, {
      seed: settings.number("seed"),
      phases: [{ name: "calm", seconds, factor: 1 }],
    });
    const classes = mix.sources.map((source) => summaryOf(source.class, sent));
    return Promise.resolve({
      result: { mix: mix.name, seconds, classes },
      grids: [{
        columns: ["CLASS", "REQUESTS", "PROMPT TOKENS", "OUTPUT TOKENS"],
        rows: classes.map((each) => [
          each.class,
          round(each.requests),
          round(each.promptTokens),
          round(each.outputTokens),
        ]),
      }],
    });
  },
};
