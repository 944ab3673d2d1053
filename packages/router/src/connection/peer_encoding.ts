/**
 * How messages between daemons are laid out in CBOR.
 *
 * @module
 */
import { compressItem, expandItem } from "./compressed_item.ts";
import { checkCount } from "./counts.ts";
import { NO_CRASHES } from "./crash_ages.ts";
import { hasCrashes, packCrashes, unpackCrashes } from "./crash_encoding.ts";
import type { PackedCrashes } from "./crash_encoding.ts";
import type { Contact } from "../process/contact.ts";
import type { DeadContact } from "../process/contact_book.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";
import type { UsageCount, WorkspaceCount } from "../process/usage_meter.ts";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { Configuration } from "../version/configuration.ts";
import type {
  FetchResponse,
  Hello,
  LeaseAge,
  LimitAge,
  PeerMessage,
  QueuedRequests,
  RunnerLoadEntry,
  StateUpdate,
} from "./peer_message.ts";

type PackedWaiting = readonly [
  rank: number,
  ageMs: number,
  tokens: number,
  leftMs: number,
  requests: number,
];

type PackedLoad = readonly [
  runner: string,
  inFlight: number,
  unreadTokens: number,
  workTokens: number,
  memoryTokens: number,
  tight: number,
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

/** Without its last field the runner names no limit any more. */
type PackedLimit = readonly [runner: string, agoMs: number, perS?: number];

type PackedUsage = readonly [
  life: string,
  window: number,
  workspacesAndCounts: readonly (string | number)[],
];

type PackedLease = readonly [revision: number, holderId: string, agoMs: number];

type PackedState = readonly [
  configuration: number,
  runners: number,
  whole: boolean,
  loads: readonly PackedLoad[],
  parts: readonly PackedParts[],
  fleet: number,
  domain: number,
  contacts: readonly PackedContact[],
  gone: readonly PackedDead[],
  /** Left out from the last one on that there is, as by daemons that know of none. */
  ...later: PackedLater,
];

type PackedLater = readonly [
  crashes?: PackedCrashes | undefined,
  limits?: readonly PackedLimit[] | undefined,
  timeMs?: number | undefined,
  usage?: readonly PackedUsage[] | undefined,
  lease?: PackedLease | undefined,
];

const ADDRESS = /^[^\s:]+:\d{1,5}$/;

function packLoad(load: RunnerLoadEntry): PackedLoad {
  return [
    load.runner,
    load.inFlight,
    load.unreadTokens,
    load.workTokens,
    load.memoryTokens,
    load.tight,
    load.waiting.map(({ rank, ageMs, unreadTokens, leftMs, requests }) =>
      [rank, ageMs, unreadTokens, leftMs, requests] as const
    ),
    load.answered,
    load.failed,
  ];
}

function unpackWaiting(packed: PackedWaiting): QueuedRequests {
  const [rank, ageMs, unreadTokens, leftMs, requests] = packed;
  return {
    rank,
    ageMs,
    leftMs,
    requests: checkCount(requests, "waiting.requests"),
    unreadTokens: checkCount(unreadTokens, "waiting.unreadTokens"),
  };
}

/** One that is too low draws all requests to a runner, so none is taken on trust. */
function unpackLoad(packed: PackedLoad): RunnerLoadEntry {
  const [runner, inFlight, unreadTokens, workTokens, memoryTokens, tight] =
    packed;
  const [, , , , , , waiting, answered, failed] = packed;
  return {
    runner,
    inFlight: checkCount(inFlight, "inFlight"),
    unreadTokens: checkCount(unreadTokens, "unreadTokens"),
    workTokens: checkCount(workTokens, "workTokens"),
    memoryTokens: checkCount(memoryTokens, "memoryTokens"),
    tight: checkCount(tight, "tight"),
    answered: checkCount(answered, "answered"),
    failed: checkCount(failed, "failed"),
    waiting: waiting.map(unpackWaiting),
  };
}

function packParts(news: PrefixUpdate): PackedParts {
  const parts = news.parts.flatMap(({ id, tokens }) => [id, tokens]);
  return [news.runner, news.read, parts];
}

function unpackParts([runner, read, packed]: PackedParts): PrefixUpdate {
  const parts = [];
  for (let at = 0; at + 1 < packed.length; at += 2) {
    parts.push({ id: packed[at] as string, tokens: packed[at + 1] as number });
  }
  return { runner, read, parts };
}

function packContact(contact: Contact): PackedContact {
  const { name, incarnation, address, failureDomain, linkMbps } = contact;
  return [name, incarnation, address, failureDomain, linkMbps];
}

/** Contacts that can be dialled; others are left out and hurt nobody else. */
function unpackContacts(packed: readonly PackedContact[]): Contact[] {
  return packed.flatMap((each) => {
    const [name, incarnation, address, failureDomain, linkMbps] = each;
    const texts = [name, incarnation, address, failureDomain];
    const sound = texts.every((text) => typeof text === "string") &&
      ADDRESS.test(address) && Number.isFinite(linkMbps);
    if (!sound) return [];
    return [{ name, incarnation, address, failureDomain, linkMbps }];
  });
}

function packLimit({ runner, agoMs, perS }: LimitAge): PackedLimit {
  return perS === undefined ? [runner, agoMs] : [runner, agoMs, perS];
}

function unpackLimit([runner, agoMs, perS]: PackedLimit): LimitAge {
  return {
    runner: String(runner),
    agoMs: checkCount(agoMs, "limits.agoMs"),
    perS: perS === undefined ? undefined : checkCount(perS, "limits.perS"),
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
    members.fleet,
    members.domain,
    state.contacts.map(packContact),
    state.gone.map(({ name, incarnation }) => [name, incarnation] as const),
  ] as const;
  return [...packed, ...packLater(state)];
}

/** The later fields up to the last one that there is. */
function packLater(state: StateUpdate): PackedLater {
  const { crashes, limits, timeMs, usage, lease } = state;
  const later: PackedLater = [
    hasCrashes(crashes) ? packCrashes(crashes) : undefined,
    limits.length === 0 ? undefined : limits.map(packLimit),
    timeMs,
    usage.length === 0 ? undefined : usage.map(packUsage),
    lease && [lease.revision, lease.holderId, lease.agoMs],
  ];
  const last = later.findLastIndex((each) => each !== undefined);
  return later.slice(0, last + 1) as unknown as PackedLater;
}

function packUsage({ life, window, counts }: UsageCount): PackedUsage {
  return [life, window, counts.flat()];
}

function unpackUsage([life, window, packed]: PackedUsage): UsageCount {
  const counts: WorkspaceCount[] = [];
  for (let at = 0; at + 1 < packed.length; at += 2) {
    const requests = checkCount(packed[at + 1] as number, "usage.counts");
    counts.push([String(packed[at]), requests]);
  }
  return {
    life: String(life),
    window: checkCount(window, "usage.window"),
    counts,
  };
}

function unpackLease([revision, holderId, agoMs]: PackedLease): LeaseAge {
  return {
    revision: checkCount(revision, "lease.revision"),
    holderId: String(holderId),
    agoMs: checkCount(agoMs, "lease.agoMs"),
  };
}

function unpackDead([name, incarnation]: PackedDead): DeadContact {
  return { name, incarnation };
}

function unpackState(packed: PackedState): StateUpdate {
  const [configuration, runners, whole, loads, parts, fleet, domain] = packed;
  const [, , , , , , , contacts, gone, ...later] = packed;
  const [crashes, limits = [], timeMs, usage = [], lease] = later;
  return {
    kind: "state",
    configuration,
    runners,
    whole,
    loads: loads.map(unpackLoad),
    parts: parts.map(unpackParts),
    members: {
      fleet: checkCount(fleet, "members.fleet"),
      domain: checkCount(domain, "members.domain"),
    },
    contacts: unpackContacts(contacts),
    gone: gone.map(unpackDead),
    crashes: crashes === undefined ? NO_CRASHES : unpackCrashes(crashes),
    limits: limits.map(unpackLimit),
    timeMs: timeMs === undefined ? undefined : checkCount(timeMs, "timeMs"),
    usage: usage.map(unpackUsage),
    lease: lease && unpackLease(lease),
  };
}

/** A message that goes with the names of its fields. */
type PackedNamed =
  | Exclude<PeerMessage, FetchResponse | Hello | StateUpdate>
  | (Omit<Hello, "known"> & { readonly known: readonly PackedContact[] })
  | PackedGive;

type PackedGive = Omit<FetchResponse, "configuration" | "runners"> & {
  readonly configuration: Uint8Array | undefined;
  readonly runners: Uint8Array | undefined;
};

function packGive(give: FetchResponse): PackedGive {
  const { configuration, runners } = give;
  return {
    ...give,
    configuration: configuration && compressItem(configuration),
    runners: runners && compressItem(runners),
  };
}

function unpackGive(packed: PackedGive): FetchResponse {
  const { configuration, runners } = packed;
  return {
    ...packed,
    configuration: configuration && expandItem(configuration) as Configuration,
    runners: runners && expandItem(runners) as RunnerListUpdate,
  };
}

function unpackNamed(packed: PackedNamed): PeerMessage {
  switch (packed.kind) {
    case "hello":
      return { ...packed, known: unpackContacts(packed.known) };
    case "give":
      return unpackGive(packed);
    default:
      return packed;
  }
}

/**
 * Lays out a message for the wire. States, nearly all of the traffic, go as
 * lists without the names of their fields: 26 bytes for a runner's load and 8
 * for each entry that waits, under 0.4 of what they take with names.
 */
export function packMessage(message: PeerMessage): unknown {
  switch (message.kind) {
    case "state":
      return packState(message);
    case "give":
      return packGive(message);
    case "hello":
      return { ...message, known: message.known.map(packContact) };
    default:
      return message;
  }
}

/**
 * Reads what {@linkcode packMessage} laid out.
 *
 * @throws {TypeError} when a daemon of another version has another layout, or
 * tells what cannot be.
 */
export function unpackMessage(item: unknown): PeerMessage {
  if (Array.isArray(item)) return unpackState(item as unknown as PackedState);
  return unpackNamed(item as PackedNamed);
}
