/**
 * Accounts the cost of a request to its workspace.
 *
 * @module
 */
import type { Charge, Flow } from "../process/workspace_shares.ts";
import type { Daemon } from "./daemon.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Cost of a generated token relative to one of the prompt. An engine prefills
 * thousands of tokens in the time of a step, which generates one for each
 * request in the batch.
 */
const GENERATED_TOKEN_COST = 10;

/** Returns the flow that a request belongs to. */
export function flowOf({ service, rank, workspace }: RoutedRequest): Flow {
  return { service: service.name, rank, workspace: workspace?.name ?? "" };
}

/**
 * Estimates the cost of a request: for engines, the tokens to prefill plus ten
 * for each expected one of the response; for plain services, the time in ms that
 * it takes a slot, or its target before any is known. A caller that states no
 * length of the response is expected to get a usual one: charged for the longest
 * possible, it would get less than others until its responses end.
 */
export function estimateRequestCost(
  daemon: Daemon,
  routed: RoutedRequest,
  prefillTokens: number,
): number {
  const { head, route, service } = routed;
  const typical = daemon.shares.typicalCost(flowOf(routed));
  if (service.engine === undefined) return typical || route.targetMs;
  const { maxOutputTokens, expectedOutputTokens } = head;
  const longest = prefillTokens + GENERATED_TOKEN_COST * maxOutputTokens;
  if (expectedOutputTokens === undefined) {
    return Math.min(longest, Math.max(prefillTokens, typical || longest));
  }
  const expected = prefillTokens + GENERATED_TOKEN_COST * expectedOutputTokens;
  return Math.min(longest, expected);
}

/** What is known of an attempt after its end. */
export interface AttemptEnd {
  /** Whether the runner may have begun to run the request. */
  readonly mayHaveRun: boolean;
  /** Events of a stream; undefined if the response is not a stream. */
  readonly events: number | undefined;
}

/** The charge for one attempt, from its start to its end. */
export class AttemptCost {
  readonly #daemon: Daemon;
  readonly #routed: RoutedRequest;
  readonly #prefillTokens: number;
  readonly #charge: Charge | undefined;

  /** Charges an attempt that is about to be sent. */
  constructor(daemon: Daemon, routed: RoutedRequest, prefillTokens: number) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#prefillTokens = prefillTokens;
    if (!daemon.scheduling.isAdaptive(routed.service.name)) return;
    const cost = estimateRequestCost(daemon, routed, prefillTokens);
    this.#charge = daemon.shares.recordStart(
      flowOf(routed),
      cost,
      daemon.now(),
    );
  }

  /** Settles the charge by the true cost, as far as it is known. */
  settle({ mayHaveRun, events }: AttemptEnd): void {
    const charge = this.#charge;
    if (charge === undefined) return;
    const { shares } = this.#daemon;
    if (!mayHaveRun) return shares.settle(charge, 0);
    const { engine } = this.#routed.service;
    if (engine === undefined) {
      return shares.settle(charge, this.#daemon.now() - charge.startedAt);
    }
    if (events === undefined) return;
    const generated = events * engine.eventTokens;
    shares.settle(
      charge,
      this.#prefillTokens + GENERATED_TOKEN_COST * generated,
    );
  }
}
