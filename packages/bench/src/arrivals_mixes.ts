/**
 * What the two deployments send.
 *
 * @module
 */
import {
  type Deployment,
  type DeploymentName,
  findDeployment,
  type Traffic,
} from "@umbermast/testing";
import type { Clustering, Lengths, Mix, Sender, Source } from "./arrivals.ts";

/** Requests a second of a whole deployment when phases have factor 1. */
const REQUESTS_PER_SECOND = 20;
const SPREAD = 0.5;
const SHORTEST = 0.2;
const LONGEST = 4;
const PREFIXES = 6;

/** Classes whose requests come together. */
const CLUSTERING: Readonly<Record<string, Clustering>> = {
  /** Several fitters finish measuring at once. */
  "cut-sheet": { size: 6, withinMs: 400, periodic: false },
  /** One disruption is explained on many platforms. */
  alert: { size: 4, withinMs: 200, periodic: false },
  /** All are due at the same hour. */
  briefing: { size: 12, withinMs: 500, periodic: true },
};

function lengths(mean: number | undefined): Lengths {
  const median = mean ?? 0;
  return {
    median,
    spread: SPREAD,
    min: Math.round(median * SHORTEST),
    max: median * LONGEST,
  };
}

/** Workspaces that use a class by default, or all when none does. */
function sendersOf(
  deployment: Deployment,
  className: string,
): readonly Sender[] {
  const own = deployment.senders.filter((sender) =>
    sender.defaultClass === className
  );
  const chosen = own.length > 0 ? own : deployment.senders;
  return chosen.map(({ workspace, size }) => ({ workspace, weight: size }));
}

function sourceOf(
  deployment: Deployment,
  traffic: Traffic,
  requestsPerSecond: number,
): Source {
  const clustering = CLUSTERING[traffic.class];
  const isChat = traffic.promptTokens !== undefined;
  return {
    class: traffic.class,
    service: traffic.service,
    ...(isChat ? { model: deployment.model } : {}),
    requestsPerSecond: requestsPerSecond * traffic.share,
    ...(clustering === undefined ? {} : { clustering }),
    prompt: lengths(traffic.promptTokens),
    output: lengths(traffic.outputTokens),
    streamed: isChat,
    repeatable: traffic.repeatable,
    senders: sendersOf(deployment, traffic.class),
    prefixes: PREFIXES,
  };
}

/**
 * The mix of a deployment: its classes by their shares, those that come in
 * bursts in clusters.
 *
 * @param options `requestsPerSecond` of the whole mix; 20 by default.
 */
export function mixOf(
  name: DeploymentName,
  options: { readonly requestsPerSecond?: number } = {},
): Mix {
  const deployment = findDeployment(name);
  const rate = options.requestsPerSecond ?? REQUESTS_PER_SECOND;
  return {
    name,
    sources: deployment.traffic.map((traffic) =>
      sourceOf(deployment, traffic, rate)
    ),
  };
}
