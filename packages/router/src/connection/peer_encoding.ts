/**
 * The CBOR layout of messages between daemons.
 *
 * @module
 */
import { compressItem, expandItem } from "./compressed_item.ts";
import { checkNonNegative } from "./check_non_negative.ts";
import { isPeerAddress } from "./peer_address.ts";
import { NO_CRASHES } from "./crash_ages.ts";
import { hasReports, packCrashes, unpackCrashes } from "./crash_encoding.ts";
import type { PackedCrashes } from "./crash_encoding.ts";
import { packPace, unpackPaces } from "./pace_encoding.ts";
import type { PackedPace } from "./pace_encoding.ts";
import { packOrigins, unpackOrigins } from "./origin_encoding.ts";
import type { PackedOrigins } from "./origin_encoding.ts";
import { packPlaces, unpackPlaces } from "./place_encoding.ts";
import type { PackedPlaces } from "./place_encoding.ts";
import type { Contact } from "../process/contact.ts";
import { groupBy } from "../process/group.ts";
import type { CostSum } from "../process/workspace_shares.ts";
import type { ConfirmationAge } from "../process/store_confirmations.ts";
import type { DeadContact } from "../process/contact_book.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";
import type {
  UsageCount,
  UsageEnd,
  WorkspaceCount,
} from "../process/usage_meter.ts";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { Configuration } from "../version/configuration.ts";
import type {
  ConfirmationAges,
  DrainingAge,
  FetchResponse,
  Hello,
  LeaseAge,
  LimitAge,
  MemberCounts,
  PeerMessage,
  QueuedRequests,
  RunnerLoadEntry,
  StateUpdate,
} from "./peer_message.ts";
import { rowsOf } from "./rows.ts";
import { ValidEntries } from "./valid_entries.ts";

type PackedWaiting = readonly [
  rank: number,
  ageMs: number,
  tokens: number,
  leftMs: number,
  requests: number,
  share?: number,
];

type PackedLoad = readonly [
  runner: string,
  inFlight: number,
  unreadTokens: number,
  workTokens: number,
  memoryTokens: number,
  tightStreams: number,
  waiting: readonly PackedWaiting[],
  answered: number,
  failed: number,
];

type PackedParts = readonly [
  runner: string,
  read: boolean,
  idsAndTokens: readonly (string | number)[],
];

type PackedContact = readonly [
  name: string,
  incarnation: string,
  address: string,
  failureDomain: string,
  linkMbps: number,
];

type PackedDead = readonly [name: string, incarnation: string];

/** A limit; without `perS` the runner no longer states one. */
type PackedLimit = readonly [runner: string, agoMs: number, perS?: number];

type PackedDraining = readonly [runner: string, agoMs: number];

type PackedUsage = readonly [
  incarnation: string,
  window: number,
  workspacesAndCounts: readonly (string | number)[],
];

/** What a daemon sends before the store has confirmed anything. */
const NO_CONFIRMATIONS: ConfirmationAges = {
  configuration: undefined,
  runners: undefined,
};

/** The incarnations with the same end. */
type PackedEnds = readonly [
  window: number,
  left: boolean,
  incarnations: readonly string[],
];

type PackedConfirmation = readonly [
  origin: string,
  sequence: number,
  agoMs: number,
];

/** The confirmations of a configuration and of the list of runners. */
type PackedConfirmed = readonly [
  configuration: PackedConfirmation | undefined,
  runners: PackedConfirmation | undefined,
];

type PackedLease = readonly [revision: number, holderId: string, agoMs: number];

/** Cumulative costs of the workspaces of one rank of a service. */
type PackedShares = readonly [
  service: string,
  rank: number,
  workspacesAndCosts: readonly (string | number)[],
];

type PackedState = readonly [
  configuration: number,
  runners: number,
  whole: boolean,
  loads: readonly PackedLoad[],
  parts: readonly PackedParts[],
  fleet: number | undefined,
  domain: number | undefined,
  contacts: readonly PackedContact[],
  gone: readonly PackedDead[],
  /** Trailing fields without a value are omitted. */
  ...optional: PackedOptionalFields,
];

/** Fields added later; older daemons send none of them. */
type PackedOptionalFields = readonly [
  crashes?: PackedCrashes | undefined,
  limits?: readonly PackedLimit[] | undefined,
  timeMs?: number | undefined,
  usage?: readonly PackedUsage[] | undefined,
  lease?: PackedLease | undefined,
  draining?: readonly PackedDraining[] | undefined,
  paces?: readonly PackedPace[] | undefined,
  shares?: readonly PackedShares[] | undefined,
  places?: PackedPlaces | undefined,
  ends?: readonly PackedEnds[] | undefined,
  confirmed?: PackedConfirmed | undefined,
  storeLost?: boolean | undefined,
  streams?: PackedOrigins | undefined,
];

function packLoad(load: RunnerLoadEntry): PackedLoad {
  return [
    load.runner,
    load.inFlight,
    load.unreadTokens,
    load.workTokens,
    load.memoryTokens,
    load.tightStreams,
    load.waiting.map(packWaiting),
    load.answered,
    load.failed,
  ];
}

function packWaiting(waiting: QueuedRequests): PackedWaiting {
  const { rank, ageMs, unreadTokens, leftMs, requests, share } = waiting;
  const packed = [rank, ageMs, unreadTokens, leftMs, requests] as const;
  return share === undefined ? packed : [...packed, share];
}

/** Reads a waiting entry. Its share is checked where it is applied. */
function unpackWaiting(packed: PackedWaiting): QueuedRequests {
  const [rank, ageMs, unreadTokens, leftMs, requests, share] = packed;
  const waiting = {
    rank,
    ageMs,
    leftMs,
    requests: checkNonNegative(requests, "waiting.requests"),
    unreadTokens: checkNonNegative(unreadTokens, "waiting.unreadTokens"),
  };
  return share === undefined ? waiting : { ...waiting, share };
}

/**
 * Reads a load and validates its counts: a count that is too low would attract
 * all requests to the runner.
 */
function unpackLoad(packed: PackedLoad): RunnerLoadEntry {
  const [
    runner,
    inFlight,
    unreadTokens,
    workTokens,
    memoryTokens,
    tightStreams,
  ] = packed;
  const [, , , , , , waiting, answered, failed] = packed;
  return {
    runner,
    inFlight: checkNonNegative(inFlight, "inFlight"),
    unreadTokens: checkNonNegative(unreadTokens, "unreadTokens"),
    workTokens: checkNonNegative(workTokens, "workTokens"),
    memoryTokens: checkNonNegative(memoryTokens, "memoryTokens"),
    tightStreams: checkNonNegative(tightStreams, "tightStreams"),
    answered: checkNonNegative(answered, "answered"),
    failed: checkNonNegative(failed, "failed"),
    waiting: waiting.map(unpackWaiting),
  };
}

function packParts(update: PrefixUpdate): PackedParts {
  const parts = update.parts.flatMap(({ id, tokens }) => [id, tokens]);
  return [update.runner, update.read, parts];
}

function unpackParts([runner, read, packed]: PackedParts): PrefixUpdate {
  const parts = rowsOf(packed, 2).map(([id, tokens]) => ({
    id: id as string,
    tokens: tokens as number,
  }));
  return { runner, read, parts };
}

function packContact(contact: Contact): PackedContact {
  const { name, incarnation, address, failureDomain, linkMbps } = contact;
  return [name, incarnation, address, failureDomain, linkMbps];
}

/** Reads contacts; invalid ones are skipped and the others kept. */
function unpackContacts(packed: readonly PackedContact[]): Contact[] {
  return packed.flatMap((contact) => {
    const [name, incarnation, address, failureDomain, linkMbps] = contact;
    const texts = [name, incarnation, failureDomain];
    const valid = texts.every((text) => typeof text === "string") &&
      isPeerAddress(address) && Number.isFinite(linkMbps);
    if (!valid) return [];
    return [{ name, incarnation, address, failureDomain, linkMbps }];
  });
}

function packLimit({ runner, agoMs, perS }: LimitAge): PackedLimit {
  return perS === undefined ? [runner, agoMs] : [runner, agoMs, perS];
}

function unpackLimit([runner, agoMs, perS]: PackedLimit): LimitAge {
  return {
    runner: String(runner),
    agoMs: checkNonNegative(agoMs, "limits.agoMs"),
    perS: perS === undefined
      ? undefined
      : checkNonNegative(perS, "limits.perS"),
  };
}

function packState(state: StateUpdate): PackedState {
  const { configuration, runners, whole, members } = state;
  const packed = [
    configuration,
    runners,
    whole,
    state.loads.map(packLoad),
    state.parts.map(packParts),
    members?.fleet,
    members?.domain,
    state.contacts.map(packContact),
    state.gone.map(({ name, incarnation }) => [name, incarnation] as const),
  ] as const;
  return [...packed, ...packOptionalFields(state)];
}

/** Packs the optional fields, up to the last one that has a value. */
function packOptionalFields(state: StateUpdate): PackedOptionalFields {
  const { crashes, limits, timeMs, usage, lease, draining } = state;
  const { paces, shares, places, ends } = state;
  const fields: PackedOptionalFields = [
    hasReports(crashes) ? packCrashes(crashes) : undefined,
    limits.length === 0 ? undefined : limits.map(packLimit),
    timeMs,
    usage.length === 0 ? undefined : usage.map(packUsage),
    lease && [lease.revision, lease.holderId, lease.agoMs],
    draining.length === 0 ? undefined : draining.map(packDraining),
    paces.length === 0 ? undefined : paces.map(packPace),
    shares.length === 0 ? undefined : packShares(shares),
    packPlaces(places),
    ends.length === 0 ? undefined : packEnds(ends),
    packConfirmed(state.confirmed),
    state.storeLost || undefined,
    packOrigins(state.streams),
  ];
  const last = fields.findLastIndex((field) => field !== undefined);
  return fields.slice(0, last + 1) as unknown as PackedOptionalFields;
}

function packConfirmed(
  { configuration, runners }: ConfirmationAges,
): PackedConfirmed | undefined {
  if (configuration === undefined && runners === undefined) return undefined;
  return [packConfirmation(configuration), packConfirmation(runners)];
}

function packConfirmation(
  confirmation: ConfirmationAge | undefined,
): PackedConfirmation | undefined {
  if (confirmation === undefined) return undefined;
  return [confirmation.origin, confirmation.sequence, confirmation.agoMs];
}

function unpackConfirmed(
  packed: PackedConfirmed,
  entries: ValidEntries,
): ConfirmationAges {
  const [configuration, runners] = packed;
  return {
    configuration: configuration &&
      entries.one(() => unpackConfirmation(configuration)),
    runners: runners && entries.one(() => unpackConfirmation(runners)),
  };
}

function unpackConfirmation(
  [origin, sequence, agoMs]: PackedConfirmation,
): ConfirmationAge {
  return {
    origin: String(origin),
    sequence: checkNonNegative(sequence, "confirmed.sequence"),
    agoMs: checkNonNegative(agoMs, "confirmed.agoMs"),
  };
}

function packShares(shares: readonly CostSum[]): readonly PackedShares[] {
  const byRank = groupBy(shares, ({ service, rank }) => `${rank} ${service}`);
  return [...byRank.values()].map((sums) => [
    sums[0]!.service,
    sums[0]!.rank,
    sums.flatMap(({ workspace, cost }) => [workspace, cost]),
  ]);
}

/** Reads costs of workspaces. Their values are checked where they are applied. */
function unpackShares(packed: unknown): readonly CostSum[] {
  if (!Array.isArray(packed)) return [];
  return packed.flatMap((sums: unknown) => {
    if (!Array.isArray(sums) || !Array.isArray(sums[2])) return [];
    const [service, rank, values] = sums as unknown as PackedShares;
    return rowsOf(values, 2).map(([workspace, cost]) => ({
      service,
      rank,
      workspace: workspace as string,
      cost: cost as number,
    }));
  });
}

function packUsage(
  { incarnation, window, counts }: UsageCount,
): PackedUsage {
  return [incarnation, window, counts.flat()];
}

function unpackUsage([incarnation, window, packed]: PackedUsage): UsageCount {
  const counts = rowsOf(packed, 2).map(([workspace, count]): WorkspaceCount => [
    String(workspace),
    checkNonNegative(count as number, "usage.counts"),
  ]);
  return {
    incarnation: String(incarnation),
    window: checkNonNegative(window, "usage.window"),
    counts,
  };
}

function packEnds(ends: readonly UsageEnd[]): readonly PackedEnds[] {
  const groups = groupBy(ends, ({ window, left }) => `${window} ${left}`);
  return [...groups.values()].map((group) => {
    const { window, left } = group[0]!;
    return [window, left, group.map(({ incarnation }) => incarnation)];
  });
}

/**
 * Reads ends; what is not one becomes an invalid end, so that the meter logs it
 * and leaves it out.
 */
function unpackEnds(packed: unknown): readonly UsageEnd[] {
  const groups: readonly unknown[] = Array.isArray(packed) ? packed : [[]];
  return groups.flatMap((group) => {
    const [window, left, incarnations]: readonly unknown[] =
      Array.isArray(group) ? group : [];
    const names: readonly unknown[] = Array.isArray(incarnations)
      ? incarnations
      : [""];
    return names.map((name) => ({
      incarnation: typeof name === "string" ? name : "",
      window: typeof window === "number" ? window : NaN,
      left: left === true,
    }));
  });
}

function unpackLease([revision, holderId, agoMs]: PackedLease): LeaseAge {
  return {
    revision: checkNonNegative(revision, "lease.revision"),
    holderId: String(holderId),
    agoMs: checkNonNegative(agoMs, "lease.agoMs"),
  };
}

function packDraining({ runner, agoMs }: DrainingAge): PackedDraining {
  return [runner, agoMs];
}

function unpackDraining([runner, agoMs]: PackedDraining): DrainingAge {
  return {
    runner: String(runner),
    agoMs: checkNonNegative(agoMs, "draining.agoMs"),
  };
}

function unpackDead([name, incarnation]: PackedDead): DeadContact {
  return { name, incarnation };
}

/** Reads loads, and tells the runners of those that are invalid. */
function unpackLoads(
  packed: readonly PackedLoad[],
  entries: ValidEntries,
): Pick<StateUpdate, "loads" | "unreadableLoads"> {
  const loads = entries.all(packed, unpackLoad);
  if (loads.length === packed.length) return { loads };
  const valid = new Set(loads.map(({ runner }) => runner));
  const runners = packed.map(([runner]) => runner);
  return {
    loads,
    unreadableLoads: runners.filter((runner) => !valid.has(runner)),
  };
}

function unpackMembers(fleet: unknown, domain: unknown): MemberCounts {
  return {
    fleet: checkNonNegative(fleet, "members.fleet"),
    domain: checkNonNegative(domain, "members.domain"),
  };
}

function unpackState(
  packed: PackedState,
  entries: ValidEntries,
): StateUpdate {
  const [configuration, runners, whole, loads, parts, fleet, domain] = packed;
  const [, , , , , , , contacts, gone, ...optional] = packed;
  const [crashes, limits = [], timeMs, usage = [], lease, ...later] = optional;
  const [draining = [], paces, shares, places, ends, ...latest] = later;
  const [confirmed, storeLost = false, streams] = latest;
  return {
    kind: "state",
    configuration,
    runners,
    whole,
    ...unpackLoads(loads, entries),
    parts: parts.map(unpackParts),
    members: entries.one(() => unpackMembers(fleet, domain)),
    contacts: unpackContacts(contacts),
    gone: gone.map(unpackDead),
    crashes: crashes === undefined
      ? NO_CRASHES
      : unpackCrashes(crashes, entries),
    limits: entries.all(limits, unpackLimit),
    timeMs: timeMs === undefined
      ? undefined
      : entries.one(() => checkNonNegative(timeMs, "timeMs")),
    usage: entries.all(usage, unpackUsage),
    lease: lease && entries.one(() => unpackLease(lease)),
    draining: entries.all(draining, unpackDraining),
    paces: unpackPaces(paces),
    places: unpackPlaces(places),
    shares: unpackShares(shares),
    ends: ends === undefined ? [] : unpackEnds(ends),
    confirmed: confirmed === undefined
      ? NO_CONFIRMATIONS
      : unpackConfirmed(confirmed, entries),
    storeLost: storeLost === true,
    streams: unpackOrigins(streams),
  };
}

/** A message that is encoded as a map, with its field names. */
type PackedMap =
  | Exclude<PeerMessage, FetchResponse | Hello | StateUpdate>
  | (Omit<Hello, "known"> & { readonly known: readonly PackedContact[] })
  | PackedFetchResponse;

type PackedFetchResponse = Omit<FetchResponse, "configuration" | "runners"> & {
  readonly configuration: Uint8Array | undefined;
  readonly runners: Uint8Array | undefined;
};

function packFetchResponse(response: FetchResponse): PackedFetchResponse {
  const { configuration, runners } = response;
  return {
    ...response,
    configuration: configuration && compressItem(configuration),
    runners: runners && compressItem(runners),
  };
}

function unpackFetchResponse(packed: PackedFetchResponse): FetchResponse {
  const { configuration, runners } = packed;
  return {
    ...packed,
    configuration: configuration && expandItem(configuration) as Configuration,
    runners: runners && expandItem(runners) as RunnerListUpdate,
  };
}

type PackedHello = Extract<PackedMap, { readonly kind: "hello" }>;

/** Reads a hello, whose own contact must be valid, as the link needs it. */
function unpackHello(packed: PackedHello): Hello {
  const [own] = unpackContacts([packContact(packed)]);
  if (own === undefined) throw new TypeError("Invalid hello: no contact");
  return { ...packed, known: unpackContacts(packed.known) };
}

function unpackMap(packed: PackedMap): PeerMessage {
  switch (packed.kind) {
    case "hello":
      return unpackHello(packed);
    case "give":
      return unpackFetchResponse(packed);
    default:
      return packed;
  }
}

/**
 * Converts a message to its layout on the wire. State updates, nearly all of the
 * traffic, are arrays without field names: 26 bytes for a runner's load and 8 for
 * each waiting entry, less than 0.4 of their size with field names.
 */
export function packMessage(message: PeerMessage): unknown {
  switch (message.kind) {
    case "state":
      return packState(message);
    case "give":
      return packFetchResponse(message);
    case "hello":
      return { ...message, known: message.known.map(packContact) };
    default:
      return message;
  }
}

/**
 * Reads a message in the layout of {@linkcode packMessage}.
 *
 * @param onInvalidEntry called with the reason for each entry of a state update
 * that is left out because a count or age in it is invalid.
 * @throws {TypeError} when the layout differs, as another version's may.
 */
export function unpackMessage(
  item: unknown,
  onInvalidEntry: (reason: string) => void = () => {},
): PeerMessage {
  if (!Array.isArray(item)) return unpackMap(item as PackedMap);
  const entries = new ValidEntries(onInvalidEntry);
  return unpackState(item as unknown as PackedState, entries);
}
