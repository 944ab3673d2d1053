/**
 * The two deployments that the stand-ins play: their places, services, classes
 * and workspaces.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Class, Row, Service, Table } from "@umbermast/table";

/** Names of the deployments. */
export const DEPLOYMENT_NAMES = ["cooperative", "metro"] as const;

/** Name of a deployment. */
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

/** A workspace, and how much of the traffic it sends. */
export interface Sender {
  readonly workspace: string;
  readonly defaultClass: string;
  /** Share of the traffic relative to the others. */
  readonly size: number;
}

/** How a class's requests look. */
export interface Traffic {
  readonly class: string;
  /** Service that the class calls. */
  readonly service: string;
  /** Share of the class among all requests, 0 to 1. */
  readonly share: number;
  /** Prompt and mean output of a chat request; absent for a plain call. */
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  readonly repeatable: boolean;
}

/** A deployment. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly model: string;
  readonly modelService: string;
  readonly plainService: string;
  readonly classes: readonly Class[];
  readonly senders: readonly Sender[];
  readonly traffic: readonly Traffic[];
}

const LARGE = 6;
const SMALL = 1;

const COOPERATIVE: Deployment = {
  name: "cooperative",
  region: "kingston",
  failureDomains: ["halfway-tree", "spanish-town", "portmore"],
  model: "drafting-llm",
  modelService: "drafting-llm",
  plainService: "yard-app",
  classes: [
    {
      name: "quote",
      tier: 0,
      target: { firstTokenMs: 500, betweenTokensMs: 64 },
      timeoutMs: 10_000,
      minimumShare: 0.2,
    },
    {
      name: "query",
      tier: 0,
      target: { firstTokenMs: 800, betweenTokensMs: 64 },
      timeoutMs: 15_000,
      minimumShare: 0.1,
    },
    {
      name: "job-card",
      tier: 1,
      target: { wholeAnswerMs: 1000 },
      timeoutMs: 10_000,
      minimumShare: 0.05,
    },
    {
      name: "cut-sheet",
      tier: 2,
      target: { firstTokenMs: 3000, wholeAnswerMs: 60_000 },
      timeoutMs: 120_000,
      minimumShare: 0.1,
    },
    {
      name: "summary",
      tier: 3,
      target: { wholeAnswerMs: 300_000 },
      timeoutMs: 600_000,
      minimumShare: 0.02,
    },
  ],
  senders: [
    { workspace: "front-office", defaultClass: "quote", size: LARGE },
    { workspace: "fitters-east", defaultClass: "cut-sheet", size: LARGE },
    { workspace: "fitters-west", defaultClass: "cut-sheet", size: LARGE },
    { workspace: "homeowners", defaultClass: "query", size: LARGE },
    { workspace: "showroom-new-kingston", defaultClass: "query", size: SMALL },
    { workspace: "showroom-portmore", defaultClass: "query", size: SMALL },
    { workspace: "yard-desk", defaultClass: "job-card", size: SMALL },
    { workspace: "stone-buyers", defaultClass: "quote", size: SMALL },
    { workspace: "apprentices", defaultClass: "cut-sheet", size: SMALL },
    { workspace: "bookkeeping", defaultClass: "summary", size: SMALL },
  ],
  traffic: [
    {
      class: "quote",
      service: "drafting-llm",
      share: 0.35,
      promptTokens: 300,
      outputTokens: 60,
      repeatable: true,
    },
    {
      class: "query",
      service: "drafting-llm",
      share: 0.25,
      promptTokens: 200,
      outputTokens: 80,
      repeatable: true,
    },
    {
      class: "job-card",
      service: "yard-app",
      share: 0.15,
      repeatable: false,
    },
    {
      class: "cut-sheet",
      service: "drafting-llm",
      share: 0.25,
      promptTokens: 1200,
      outputTokens: 400,
      repeatable: true,
    },
  ],
};

const METRO: Deployment = {
  name: "metro",
  region: "bucharest",
  failureDomains: ["hala-militari", "hala-berceni", "hala-pantelimon"],
  model: "umbermast-pool",
  modelService: "umbermast-pool",
  plainService: "notify-app",
  classes: [
    {
      name: "dispatcher",
      tier: 0,
      target: { firstTokenMs: 400, betweenTokensMs: 64 },
      timeoutMs: 10_000,
      minimumShare: 0.2,
    },
    {
      name: "alert",
      tier: 1,
      target: { firstTokenMs: 1000, betweenTokensMs: 64 },
      timeoutMs: 20_000,
      minimumShare: 0.1,
    },
    {
      name: "notice",
      tier: 1,
      target: { wholeAnswerMs: 1000 },
      timeoutMs: 10_000,
      minimumShare: 0.05,
    },
    {
      name: "briefing",
      tier: 2,
      target: { firstTokenMs: 5000, wholeAnswerMs: 90_000 },
      timeoutMs: 300_000,
      minimumShare: 0.1,
    },
  ],
  senders: [
    { workspace: "dispatch-centre", defaultClass: "dispatcher", size: LARGE },
    { workspace: "line-m1", defaultClass: "dispatcher", size: SMALL },
    { workspace: "line-m2", defaultClass: "dispatcher", size: SMALL },
    { workspace: "line-m3", defaultClass: "dispatcher", size: SMALL },
    { workspace: "rider-app", defaultClass: "alert", size: LARGE },
    { workspace: "platform-screens", defaultClass: "alert", size: LARGE },
    { workspace: "station-north", defaultClass: "briefing", size: LARGE },
    { workspace: "station-south", defaultClass: "briefing", size: SMALL },
    { workspace: "depot", defaultClass: "briefing", size: SMALL },
    { workspace: "crew-desk", defaultClass: "notice", size: SMALL },
  ],
  traffic: [
    {
      class: "dispatcher",
      service: "umbermast-pool",
      share: 0.25,
      promptTokens: 300,
      outputTokens: 60,
      repeatable: true,
    },
    {
      class: "alert",
      service: "umbermast-pool",
      share: 0.4,
      promptTokens: 200,
      outputTokens: 80,
      repeatable: true,
    },
    {
      class: "notice",
      service: "notify-app",
      share: 0.1,
      repeatable: false,
    },
    {
      class: "briefing",
      service: "umbermast-pool",
      share: 0.25,
      promptTokens: 800,
      outputTokens: 500,
      repeatable: true,
    },
  ],
};

/** A deployment by its name. */
export function findDeployment(name: DeploymentName): Deployment {
  return name === "metro" ? METRO : COOPERATIVE;
}

/** The key of a workspace; the same seed gives the same keys. */
export function keyOf(workspace: string, seed: number): string {
  const digest = createHash("sha256").update(`${seed}/${workspace}`);
  return `um-${workspace}-${digest.digest("hex").slice(0, 24)}`;
}

/** Hexadecimal SHA-256 of a key, as the table holds it. */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Settings of the table that a deployment leaves open. */
export interface TableOptions {
  readonly seed: number;
  readonly checksFencing: boolean;
  /** Requests that one model runner may serve at once. */
  readonly slotsPerRunner: number;
}

/** The table that a deployment starts with. */
export function initialTable(
  deployment: Deployment,
  options: TableOptions,
): Table {
  const services: readonly Service[] = [
    {
      name: deployment.modelService,
      kind: "model",
      models: [deployment.model],
      checksFencing: options.checksFencing,
      slotsPerRunner: options.slotsPerRunner,
    },
    {
      name: deployment.plainService,
      kind: "plain",
      models: [],
      checksFencing: false,
      slotsPerRunner: options.slotsPerRunner,
    },
  ];
  const rows: readonly Row[] = deployment.senders.flatMap((sender) =>
    deployment.classes.map((row) => ({
      workspace: sender.workspace,
      class: row.name,
      weight: sender.size,
    }))
  );
  const workspaces = deployment.senders.map(({ workspace, defaultClass }) => ({
    name: workspace,
    keyDigests: [digestKey(keyOf(workspace, options.seed))],
    defaultClass,
  }));
  return { classes: deployment.classes, workspaces, rows, services };
}
