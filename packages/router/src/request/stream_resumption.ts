/**
 * Finds where a stream began that its caller resumes, and whether it can continue.
 *
 * @module
 */
import type { UnconfirmedReason } from "../process/confirmed_versions.ts";
import { pause } from "../process/pause.ts";
import { streamKey } from "../process/stream_origins.ts";
import type { KnownOrigin } from "../process/stream_origins.ts";
import type { StreamOrigin } from "../process/stream_origin.ts";
import type { Refusal } from "./refusal.ts";
import type { Daemon } from "./daemon.ts";
import { logStreamResumed, logStreamUnknown } from "./decision_log.ts";
import { unavailableRefusal } from "./refusals.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Time for which peers are asked, in multiples of the time in which a change reaches
 * all of them: one for the question, one for the answer, the rest for busy daemons.
 */
const ASK_PROPAGATIONS = 8;
/** The shortest such time in ms. */
const MIN_ASK_MS = 500;
/** Maximum share of the caller's remaining time for which peers are asked. */
const MAX_ASK_SHARE = 0.25;
/**
 * Time for which only peers are asked, in the same multiples, before the store is
 * read, too.
 */
const PEERS_FIRST_PROPAGATIONS = 2;
/** Maximum share of the time for both in which only peers are asked. */
const MAX_PEERS_FIRST_SHARE = 0.25;

const SERVICE_UNAVAILABLE = 503;

/** How the origin of a stream became known. */
export type OriginSource =
  /** The stream began at this daemon. */
  | "own"
  /** A peer had told it. */
  | "peer"
  /** A peer told it when asked. */
  | "asked"
  /** The store has confirmed that the service has had one software version only. */
  | "confirmed_version";

/** Why the origin of a stream is not known. */
export type UnknownReason =
  | UnconfirmedReason
  /** The stream has the key of another one, which began elsewhere. */
  | "several_origins";

/** An origin, and how it became known. */
export interface FoundOrigin extends StreamOrigin {
  readonly source: OriginSource;
  /** Name of the peer that told it. */
  readonly peer: string | undefined;
  /** Milliseconds since it was learnt. */
  readonly ageMs: number;
}

/** Reasons for which a later attempt, or one at another daemon, may do better. */
const LATER_REASONS: ReadonlySet<UnknownReason> = new Set([
  "store_unreachable",
  "store_late",
]);

/** An origin that is not known. */
interface UnknownOrigin {
  readonly reason: UnknownReason;
}

/** A request that resumes a stream and can be sent to the stream's service. */
export interface ResumedRequest {
  readonly routed: RoutedRequest;
  readonly origin: StreamOrigin;
}

/**
 * Returns the keys of a request's stream: by the attempt that brought its first
 * event, and by the request's content for callers that do not name that attempt.
 */
export function streamKeys(
  { head, workspace }: RoutedRequest,
  fingerprint: string,
): readonly string[] {
  const attempt = head.resumes ?? head.id;
  if (attempt === "") return [fingerprint];
  return [streamKey(workspace?.name, attempt), fingerprint];
}

/** Whether the caller resumes a stream that began in an earlier response. */
export function resumesStream({ head, route }: RoutedRequest): boolean {
  const resumes = head.resumes !== undefined || head.lastEventId !== undefined;
  return resumes && route.streaming && route.repetition === "resumable";
}

/**
 * Finds the origin of a stream that its caller resumes.
 *
 * The origin is not guessed: the events of two versions do not fit together, nor do
 * those of two services if an edit has moved the route since. Without an origin the
 * request is refused at once. A later attempt may do better if this daemon still
 * lacks links to others, or the store: another daemon may know more.
 */
export async function resumeStream(
  daemon: Daemon,
  routed: RoutedRequest,
  request: {
    readonly fingerprint: string;
    /** Milliseconds that the caller has left. */
    readonly remainingMs: number;
  },
): Promise<ResumedRequest | Refusal> {
  const askedAt = daemon.now();
  const origin = await findOrigin(daemon, routed, request);
  const waitedMs = daemon.now() - askedAt;
  const { name } = routed.service;
  if ("reason" in origin) {
    const { reason } = origin;
    daemon.metrics.streamResumption(name, reason);
    logStreamUnknown(daemon, routed, { reason, waitedMs });
    return daemon.dataAges().peers === 0 || LATER_REASONS.has(reason)
      ? unavailableRefusal("stream_unknown", daemon.random())
      : { status: SERVICE_UNAVAILABLE, code: "stream_unknown" };
  }
  daemon.metrics.streamResumption(name, origin.source);
  logStreamResumed(daemon, routed, { origin, waitedMs });
  const service = serviceOf(daemon, routed, origin);
  if (service === undefined) {
    return { status: SERVICE_UNAVAILABLE, code: "stream_moved" };
  }
  return { routed: { ...routed, service }, origin };
}

async function findOrigin(
  daemon: Daemon,
  routed: RoutedRequest,
  { fingerprint, remainingMs }: {
    readonly fingerprint: string;
    readonly remainingMs: number;
  },
): Promise<FoundOrigin | UnknownOrigin> {
  const [byAttempt] = streamKeys(routed, fingerprint);
  const named = routed.head.resumes !== undefined;
  const stream = named ? byAttempt! : fingerprint;
  const here = daemon.origins.find(stream);
  if (here !== undefined) {
    const source = here.peer === undefined ? "own" : "peer";
    return foundOrigin(daemon, here, source);
  }
  return await searchOrigin(daemon, routed, { stream, remainingMs });
}

/**
 * Asks peers for an origin, and soon the store whether there is only one that the
 * stream can have.
 */
async function searchOrigin(
  daemon: Daemon,
  routed: RoutedRequest,
  { stream, remainingMs }: {
    readonly stream: string;
    readonly remainingMs: number;
  },
): Promise<FoundOrigin | UnknownOrigin> {
  const linked = daemon.dataAges().peers > 0;
  const propagationMs = linked ? daemon.propagationMs() : 0;
  const maxMs = MAX_ASK_SHARE * remainingMs;
  const askMs = Math.max(MIN_ASK_MS, ASK_PROPAGATIONS * propagationMs);
  const asked = linked
    ? daemon.origins.ask(stream, Math.min(askMs, maxMs))
    : Promise.resolve(undefined);
  const aloneMs = Math.min(
    MAX_PEERS_FIRST_SHARE * maxMs,
    PEERS_FIRST_PROPAGATIONS * propagationMs,
  );
  const early = await Promise.race([
    asked,
    pause(aloneMs, { background: true }),
  ]);
  if (early) return foundOrigin(daemon, early, "asked");
  const confirmed = onlyOrigin(daemon, routed, maxMs - aloneMs);
  const fromPeers = asked.then((known) =>
    known === undefined ? confirmed : foundOrigin(daemon, known, "asked")
  );
  const fromStore = confirmed.then((origin) =>
    "reason" in origin ? fromPeers : origin
  );
  return await Promise.race([fromPeers, fromStore]);
}

function foundOrigin(
  daemon: Daemon,
  { service, software, peer, knownAt }: KnownOrigin,
  source: OriginSource,
): FoundOrigin | UnknownOrigin {
  if (software === undefined) return { reason: "several_origins" };
  return { service, software, source, peer, ageMs: daemon.now() - knownAt };
}

/**
 * Returns the only origin that a stream of the route can have: the store confirms
 * that the route has led to one service, and that this has had one version, for
 * longer than callers wait.
 */
async function onlyOrigin(
  daemon: Daemon,
  { route, service }: RoutedRequest,
  maxMs: number,
): Promise<FoundOrigin | UnknownOrigin> {
  const [, ...others] = route.destinations.filter(({ weight }) => weight > 0);
  if (others.length > 0) return { reason: "several_services" };
  if (daemon.softwareVersions.isMixed(service.name, daemon.now())) {
    return { reason: "several_versions" };
  }
  const possible = { route: route.name, service: service.name };
  const confirmation = await daemon.confirmVersion(possible, maxMs);
  if (confirmation.kind === "unconfirmed") return confirmation;
  const { software, ageMs } = confirmation;
  return {
    service: service.name,
    software,
    source: "confirmed_version",
    peer: undefined,
    ageMs,
  };
}

/** Returns the stream's service if the route still leads there. */
function serviceOf(
  daemon: Daemon,
  { route, service }: RoutedRequest,
  origin: StreamOrigin,
): RoutedRequest["service"] | undefined {
  if (service.name === origin.service) return service;
  const isDestination = route.destinations.some(({ service: name, weight }) =>
    name === origin.service && weight > 0
  );
  if (!isDestination) return undefined;
  return daemon.routingTable()?.service(origin.service);
}
