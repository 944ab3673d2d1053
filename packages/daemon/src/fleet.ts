/**
 * Composes the daemon's view of the fleet: the host list, the other daemons, the
 * runners and the table.
 *
 * @module
 */
import {
  ClaimsInStore,
  CompositeDigest,
  followHostList,
  HttpStore,
  PublishedValue,
  startNode,
} from "@umbermast/coordination";
import type {
  CoordinationNode,
  Host,
  HostList,
  ListenFailed,
  MembershipEvent,
  Store,
} from "@umbermast/coordination";
import { parseStoredTable, TABLE_KIND, TABLE_NAME } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Log } from "./process/log.ts";
import type { Runner } from "./process/runner.ts";
import { RunnerDirectory } from "./process/runner_directory.ts";
import type { Settings } from "./process/settings.ts";
import { SourcedTableFeed } from "./version/table_feed.ts";
import type { TableFeed, VersionedValue } from "./version/table_feed.ts";

/** The daemon's view of the fleet. */
export interface Fleet {
  readonly node: CoordinationNode;
  readonly store: Store;
  readonly claims: ClaimsInStore;
  readonly directory: RunnerDirectory;
  readonly feed: TableFeed;
  /** Applies a version that, by an operator's tool, the store has accepted. */
  readonly offerTable: (offered: VersionedValue) => void;
}

/** Joins the fleet; closes its sockets and connections when the scope closes. */
export function joinFleet(
  settings: Settings,
  log: Log,
): Effect.Effect<Fleet, ListenFailed, Scope.Scope> {
  return Effect.gen(function* () {
    const digest = new CompositeDigest();
    const node = yield* joinPeers(settings, { log, digest });
    const directory = new RunnerDirectory();
    yield* followRunners(node.hostList, directory);
    const store = yield* openStore(settings);
    const { feed, offerTable } = yield* followTable({
      store,
      node,
      digest,
      log,
    });
    const { peers, membership } = node;
    const claims = new ClaimsInStore({
      store,
      peers,
      membership,
      settings: settings.claims,
    });
    yield* claims.start();
    return { node, store, claims, directory, feed, offerTable };
  });
}

function joinPeers(
  settings: Settings,
  dependencies: { readonly log: Log; readonly digest: CompositeDigest },
) {
  const { name, region, failureDomain, peers, platform } = settings;
  const { log, digest } = dependencies;
  return Effect.gen(function* () {
    const hostList = yield* followHostList({
      url: platform.hostsUrl ?? platform.url,
      onFindings: (findings) =>
        log.warning("hosts_invalid", {
          findings: findings.length,
          first: findings[0]?.message,
        }),
      onCurrent: (current, reason) =>
        log.event("host_list_changed", { current, reason }),
      onFault: (error) =>
        log.warning("update_failed", { of: "hosts", reason: String(error) }),
    });
    return yield* startNode({
      name,
      region,
      failureDomain,
      ...peers,
      hostList,
      digest,
      onEvent: (event) => logMembership(event, log),
    });
  });
}

/** Event names of the log, written out so that a text search finds them. */
const MEMBERSHIP_EVENTS: Readonly<Record<MembershipEvent["type"], string>> = {
  changed: "member_changed",
  refuted: "member_refuted",
  paused: "member_paused",
  outdated: "member_outdated",
};

/** Logs a membership event. */
function logMembership(event: MembershipEvent, log: Log): void {
  const { type, ...fields } = event;
  log.event(MEMBERSHIP_EVENTS[type], fields);
}

function isRunner(host: Host): host is Host & Runner {
  return host.role === "runner" && host.service !== undefined;
}

/** Updates the runner directory from the host list. */
function followRunners(
  hostList: HostList,
  directory: RunnerDirectory,
): Effect.Effect<void, never, Scope.Scope> {
  const replace = () => directory.replace(hostList.hosts().filter(isRunner));
  const follow = Effect.sync(() => {
    replace();
    return hostList.subscribe(replace);
  });
  return Effect.asVoid(
    Effect.acquireRelease(follow, (unsubscribe) => Effect.sync(unsubscribe)),
  );
}

function openStore(
  settings: Settings,
): Effect.Effect<HttpStore, never, Scope.Scope> {
  const open = Effect.sync(() => new HttpStore({ url: settings.platform.url }));
  return Effect.acquireRelease(
    open,
    (store) => Effect.sync(() => store.close()),
  );
}

function followTable(dependencies: {
  readonly store: Store;
  readonly node: CoordinationNode;
  readonly digest: CompositeDigest;
  readonly log: Log;
}) {
  const { store, node, digest, log } = dependencies;
  return Effect.gen(function* () {
    const published = new PublishedValue<unknown>({
      store,
      peers: node.peers,
      membership: node.membership,
      kind: TABLE_KIND,
      name: TABLE_NAME,
      decode: checkStoredTable,
      onRejected: (version, error) =>
        log.warning("table_invalid", { version, reason: String(error) }),
      onFault: (error) =>
        log.warning("update_failed", { of: "table", reason: String(error) }),
    });
    const feed = new SourcedTableFeed(published, log);
    yield* published.start();
    digest.add("table", published.digest);
    const offerTable = (offered: VersionedValue) => published.publish(offered);
    return { feed, offerTable };
  });
}

/** Returns the value unchanged if it is a valid table, else throws its findings. */
function checkStoredTable(value: unknown): unknown {
  const parsed = parseStoredTable(value);
  if (parsed.isOk()) return value;
  const [first] = parsed.error;
  const count = parsed.error.length;
  throw new Error(`${count} findings, ${first?.place}: ${first?.message}`);
}
