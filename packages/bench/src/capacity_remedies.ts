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
  /** It is about what the process spends without the role. */
  readonly idle?: boolean;
  readonly change: string;
}

const BATCH =
  "one frame, one authentication tag and one wake-up for all messages that " +
  "go to one daemon within a millisecond";
const COMPACT =
  "arrays with interned names in place of maps with field names, and " +
  "hand-written checks of their fields in place of a schema's decoder";

const TRAFFIC: readonly Remedy[] = [
  {
    role: "brokerRunner",
    change: "ask a runner less often while its in-flight count explains it",
  },
  {
    role: "partitionOwner",
    change: "each write carries the whole head of a partition: seal heads at " +
      "a few KiB in place of 48, which shortens each write as much",
  },
  {
    role: "watcher",
    change:
      "a watch brings the whole table for an edit of one row: keep rows " +
      "in one object for each workspace, so that an edit brings one of them",
  },
  { role: "broker", change: `${COMPACT}; ${BATCH}` },
  {
    role: "brokerEntry",
    change:
      "let heartbeats of the link stand for the beats of what is only held",
  },
  { role: "entry", change: COMPACT },
  { role: "entryBroker", change: "the same as for brokerEntry" },
  {
    role: "link",
    change:
      "let the heartbeat interval grow with the number of links in use, " +
      "and an entry ask a subset of the brokers",
  },
  {
    role: "shareHolder",
    change:
      "report a part only when its demand has changed or its grant runs " +
      "out, so that idle rows cost nothing",
  },
  { role: "shareOwner", change: "the same" },
  {
    role: "member",
    change: "bound the news that a probe carries by rate as well as by size",
  },
];

const PROCESSOR: readonly Remedy[] = [
  {
    role: "entry",
    idle: true,
    change:
      "one timer for ticks, beats and links that sleeps until something " +
      "is due, in place of several that run all the time",
  },
  {
    role: "brokerRunner",
    change: "ask a runner less often while its in-flight count explains it",
  },
  { role: "broker", change: `${COMPACT}; ${BATCH}` },
  {
    role: "brokerEntry",
    change: "heartbeats of the link in place of beats; " + BATCH,
  },
  {
    role: "brokerGrant",
    change: "count what an entry holds as it changes, not at each beat",
  },
  { role: "entry", change: `${COMPACT}; ${BATCH}` },
  {
    role: "entryBroker",
    change: "count what is at a broker as it changes, not at each beat",
  },
  {
    role: "partitionOwner",
    change: "smaller heads, so that less is encoded and parsed a write, and " +
      "64 partitions, so that each owner has fewer claims",
  },
  { role: "watcher", change: "one object for each workspace's rows" },
  {
    role: "shareHolder",
    change: "hash the members' names once for each view, not for each limit; " +
      "report only parts whose demand has changed",
  },
  { role: "shareOwner", change: "fewer reports, as for traffic" },
  {
    role: "link",
    change:
      "one timer for all links, and heartbeats less often on links that " +
      "carry little",
  },
  {
    role: "member",
    change: "stretch the interval of probes with the size of the view",
  },
];

const MEMORY: readonly Remedy[] = [
  {
    role: "entry",
    idle: true,
    change: "Node and the libraries before any load, a fixed cost that does " +
      "not grow with the fleet",
  },
  {
    role: "member",
    change: "hold members in arrays in place of objects",
  },
  { role: "link", change: "fewer links in use, with smaller buffers" },
  { role: "brokerGrant", change: "keep ids as bytes in place of text" },
  {
    role: "claimKept",
    change:
      "keep digests of sealed claims in a sorted byte array in place of " +
      "a map of objects",
  },
];

/** Shares of the budget below this are not worth a line. */
const ENOUGH = 0.1;

/** A quantity with a budget, and who may be asked to spend less. */
interface Budgeted {
  readonly name: string;
  readonly quantity: "cpuMicros" | "bytes" | "stateBytes";
  readonly limit: number;
  readonly remedies: readonly Remedy[];
}

const BUDGETED: readonly Budgeted[] = [
  {
    name: "Traffic",
    quantity: "bytes",
    limit: BUDGET.bytesPerSecond,
    remedies: TRAFFIC,
  },
  {
    name: "Processor time",
    quantity: "cpuMicros",
    limit: BUDGET.cpuMicrosPerSecond,
    remedies: PROCESSOR,
  },
  {
    name: "Memory",
    quantity: "stateBytes",
    limit: BUDGET.memoryBytes,
    remedies: MEMORY,
  },
];

function times(value: number): string {
  return value >= 10 ? value.toFixed(0) : value.toPrecision(2);
}

/** A remedy's load, and what it takes of the budget. */
interface Share {
  readonly title: string;
  readonly today: number;
  readonly later: number;
}

function shareOf(
  lines: readonly Line[],
  options: { readonly remedy: Remedy; readonly budgeted: Budgeted },
): Share {
  const { remedy, budgeted } = options;
  const { quantity, limit } = budgeted;
  const line = lines.find(({ load }) =>
    load.role === remedy.role &&
    (load.kind === "idle") === (remedy.idle === true)
  );
  return {
    title: line?.load.title ?? remedy.role,
    today: (line?.today?.most[quantity] ?? 0) / limit,
    later: (line?.later?.most[quantity] ?? 0) / limit,
  };
}

function remedyLines(
  lines: readonly Line[],
  budgeted: Budgeted,
): readonly string[] {
  return budgeted.remedies
    .map((remedy) => ({
      change: remedy.change,
      ...shareOf(lines, { remedy, budgeted }),
    }))
    .filter(({ today, later }) => Math.max(today, later) > ENOUGH)
    .sort((a, b) => Math.max(b.today, b.later) - Math.max(a.today, a.later))
    .map(({ title, change, today, later }) => {
      const after = later === today
        ? ""
        : `, ${times(later)} after the change in its role's table`;
      const now = today === 0 ? "nothing" : times(today);
      return `  - ${title}: ${now} of the budget${after}. ` +
        `${change[0]?.toUpperCase()}${change.slice(1)}.`;
    });
}

function part(
  budgeted: Budgeted,
  options: { readonly lines: readonly Line[]; readonly sum: Total },
): string | undefined {
  const { lines, sum } = options;
  const { name, quantity, limit } = budgeted;
  const today = sum.today.most[quantity] / limit;
  const later = sum.later.most[quantity] / limit;
  if (Math.max(today, later) <= 1) return undefined;
  const still = later > 1
    ? `and ${times(later)} times after the changes in the roles' tables`
    : "and within it after the changes in the roles' tables";
  return [
    `- **${name} is over the budget** on the busiest daemon: ` +
    `${times(today)} times as the code is, ${still}. What is more to do:`,
    ...remedyLines(lines, budgeted),
  ].join("\n");
}

/** A list of what is over, each with the change that closes it. */
export function remedies(lines: readonly Line[], sum: Total): string {
  const parts = BUDGETED
    .map((budgeted) => part(budgeted, { lines, sum }))
    .filter((text) => text !== undefined);
  if (parts.length > 0) return parts.join("\n");
  if (sum.missing.length > 0) {
    return "What was measured so far does not pass the budget; what is missing may.";
  }
  return "Control is within the budget, also on the busiest daemon.";
}
