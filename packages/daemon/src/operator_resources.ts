/**
 * The resources that a daemon serves to operators.
 *
 * @module
 */
import process from "node:process";
import type { CoordinationNode } from "@umbermast/coordination";
import { jsonResponse } from "./connection/operator_server.ts";
import type {
  OperatorPostHandlers,
  OperatorResources,
} from "./connection/operator_server.ts";
import type { Fleet } from "./fleet.ts";
import type { DecisionHistory } from "./process/decisions.ts";
import type { Lifecycle } from "./process/lifecycle.ts";
import type { Metrics } from "./process/metrics.ts";
import type { RunnerDirectory } from "./process/runner_directory.ts";
import type { Settings } from "./process/settings.ts";
import type { TableFeed } from "./version/table_feed.ts";
import { parseOffer } from "./version/table_offer.ts";

/** The components of the daemon that operators can inspect. */
export interface OperatorContext {
  readonly settings: Settings;
  readonly lifecycle: Lifecycle;
  readonly metrics: Metrics;
  readonly decisions: DecisionHistory;
  readonly node: CoordinationNode;
  readonly directory: RunnerDirectory;
  readonly feed: TableFeed;
  readonly requests: { readonly inFlight: number };
  readonly connections: () => number;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAVAILABLE = 503;

function statusOf(context: OperatorContext) {
  const { settings, lifecycle, node, feed, directory } = context;
  const { ready, phase, reasons } = lifecycle.readiness();
  const { name, region, failureDomain, scheduler } = settings;
  return {
    name,
    region,
    failureDomain,
    incarnation: node.membership.self.incarnation,
    phase,
    ready,
    reasons,
    scheduler,
    tableVersion: feed.current()?.version ?? 0,
    requestsInFlight: context.requests.inFlight,
    callerConnections: context.connections(),
    daemons: node.membership.view().members.length,
    runners: directory.all().length,
    platformCurrent: node.hostList.current(),
    uptimeSeconds: Math.round(process.uptime()),
    memoryBytes: process.memoryUsage.rss(),
  };
}

function daemonsOf({ node }: OperatorContext) {
  const self = node.membership.self.name;
  return node.membership.view().members.map(({ member, state }) => ({
    ...member,
    state,
    self: member.name === self,
  }));
}

function tableOf({ feed, settings }: OperatorContext) {
  const current = feed.current();
  return {
    name: settings.name,
    version: current?.version ?? null,
    editId: current?.editId ?? null,
    table: current?.table ?? null,
  };
}

/** Returns the handlers of operators' posts: an accepted version of the table. */
export function operatorPostHandlers(
  fleet: Pick<Fleet, "feed" | "offerTable">,
): OperatorPostHandlers {
  return {
    "/table": (body) => {
      const offer = parseOffer(body);
      if (offer.isErr()) {
        const message = "Cannot take the offered table";
        const error = { code: "offer_invalid", message, findings: offer.error };
        return jsonResponse({ error }, HTTP_BAD_REQUEST);
      }
      fleet.offerTable(offer.value);
      return jsonResponse({ version: fleet.feed.current()?.version ?? null });
    },
  };
}

/** Returns the resources of the operators' server. */
export function operatorResources(context: OperatorContext): OperatorResources {
  const { lifecycle, metrics, decisions, directory } = context;
  return {
    "/healthz": () => jsonResponse({ healthy: true }),
    "/readyz": () => {
      const readiness = lifecycle.readiness();
      const status = readiness.ready ? HTTP_OK : HTTP_UNAVAILABLE;
      return jsonResponse(readiness, status);
    },
    "/metrics": async () => ({ status: HTTP_OK, ...await metrics.render() }),
    "/status": () => jsonResponse(statusOf(context)),
    "/runners": () => jsonResponse({ runners: directory.all() }),
    "/daemons": () => jsonResponse({ daemons: daemonsOf(context) }),
    "/table": () => jsonResponse(tableOf(context)),
    "/decisions": (query) => {
      const requestId = query.get("request");
      if (requestId === null) {
        const message = 'Cannot look up decisions: expected "?request=ID"';
        const error = { code: "request_missing", message };
        return jsonResponse({ error }, HTTP_BAD_REQUEST);
      }
      return jsonResponse({
        requestId,
        decisions: decisions.linesOf(requestId),
      });
    },
  };
}
