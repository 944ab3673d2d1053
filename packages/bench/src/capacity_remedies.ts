/**
 * Names what is over the budget and the change that closes it.
 *
 * @module
 */
import type { Line, Total } from "./capacity_arithmetic.ts";
import { BUDGET } from "./capacity_plan.ts";
import type { Role } from "./slopes_result.ts";

interface Remedy {
  readonly role: Role;
  readonly change: string;
}

const TRAFFIC: readonly Remedy[] = [
  {
    role: "link",
    change: "carry liveness of rarely used links in the members' probes and " +
      "let a link's heartbeat interval grow with the number of links in use; " +
      "ask within a subset of brokers per entry, so that links in use do not " +
      "grow with daemons",
  },
  {
    role: "entry",
    change: "send asks, grants and releases as arrays with interned names in " +
      "place of maps, and put all that go to one broker within a " +
      "millisecond into one frame",
  },
  {
    role: "broker",
    change: "the same as for the entry: each message has two ends",
  },
];

const PROCESSOR: readonly Remedy[] = [
  {
    role: "broker",
    change: "one frame, one authentication tag and one wake-up for all " +
      "messages of a millisecond between two daemons",
  },
  {
    role: "entry",
    change: "the same batching, and one message fewer by letting the release " +
      "of one request ride with the next ask",
  },
  {
    role: "brokerRunner",
    change: "ask runners for their load over one kept connection less often " +
      "while their in-flight count explains it",
  },
  {
    role: "member",
    change: "stretch the probe interval with the size of the view",
  },
  {
    role: "link",
    change: "as for traffic: fewer links in use, fewer heartbeats",
  },
];

const MEMORY: readonly Remedy[] = [
  {
    role: "member",
    change: "most of it is Node and the libraries before any load; subpath " +
      "imports, a smaller young generation and no source maps in production " +
      "reduce it, and the rest is a fixed cost that does not grow",
  },
  {
    role: "link",
    change: "fewer links in use, with smaller socket buffers",
  },
];

const ENOUGH = 0.1;

function part(
  name: string,
  options: {
    readonly most: number;
    readonly limit: number;
    readonly shares: ReadonlyMap<Role, number>;
    readonly remedies: readonly Remedy[];
  },
): string | undefined {
  const { most, limit, shares, remedies } = options;
  if (most <= limit) return undefined;
  const lines = remedies
    .filter(({ role }) => (shares.get(role) ?? 0) > ENOUGH * limit)
    .sort((a, b) => (shares.get(b.role) ?? 0) - (shares.get(a.role) ?? 0))
    .map(({ role, change }) => {
      const times = ((shares.get(role) ?? 0) / limit).toFixed(2);
      return `  - \`${role}\` alone takes ${times} of the budget: ${change}.`;
    });
  return [`- **${name} is over the budget.** What closes it:`, ...lines]
    .join("\n");
}

function sharesOf(
  lines: readonly Line[],
  quantity: "cpuMicros" | "bytes" | "stateBytes",
): ReadonlyMap<Role, number> {
  return new Map(
    lines
      .filter((line) => line.load.control)
      .map((line) => [line.load.role, line.most?.[quantity] ?? 0]),
  );
}

/** A list of what is over, each with the change that closes it. */
export function remedies(lines: readonly Line[], sum: Total): string {
  const parts = [
    part("Traffic", {
      most: sum.most.bytes,
      limit: BUDGET.bytesPerSecond,
      shares: sharesOf(lines, "bytes"),
      remedies: TRAFFIC,
    }),
    part("Processor time", {
      most: sum.most.cpuMicros,
      limit: BUDGET.cpuMicrosPerSecond,
      shares: sharesOf(lines, "cpuMicros"),
      remedies: PROCESSOR,
    }),
    part("Memory", {
      most: sum.most.stateBytes,
      limit: BUDGET.memoryBytes,
      shares: sharesOf(lines, "stateBytes"),
      remedies: MEMORY,
    }),
  ].filter((text) => text !== undefined);
  if (parts.length === 0 && sum.missing.length > 0) {
    return "What was measured so far does not pass the budget; what is missing may.";
  }
  if (parts.length === 0) {
    return "Control is within the budget, also on the busiest daemon.";
  }
  return parts.join("\n");
}
