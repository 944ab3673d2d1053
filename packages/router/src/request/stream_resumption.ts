/**
 * Finds where a stream began that its caller resumes, and whether it can continue.
 *
 * @module
 */
import { streamKey } from "../process/stream_origins.ts";
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
/** Age in ms up to which data counts as current. */
const CURRENT_MS = 4_000;

const SERVICE_UNAVAILABLE = 503;

/** How the origin of a stream became known. */
export type OriginSource =
  /** The stream began at this daemon. */
  | "own"
  /** A peer had told it. */
  | "peer"
  /** A peer told it when asked. */
  | "asked"
  /** The service has had one software version only. */
  | "only_version";

/** An origin, and how it became known. */
export interface FoundOrigin extends StreamOrigin {
  readonly source: OriginSource;
  /** Name of the peer that told it. */
  readonly peer: string | undefined;
  /** Milliseconds since it was learnt. */
  readonly ageMs: number;
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
 * request is refused at once. A later attempt may do better only if this daemon
 * still lacks links to others.
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
  if (origin === undefined) {
    logStreamUnknown(daemon, routed, waitedMs);
    const linked = daemon.dataAges().peers > 0;
    return linked
      ? { status: SERVICE_UNAVAILABLE, code: "stream_unknown" }
      : unavailableRefusal("stream_unknown", daemon.random());
  }
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
): Promise<FoundOrigin | undefined> {
  const { origins } = daemon;
  const [byAttempt] = streamKeys(routed, fingerprint);
  const named = routed.head.resumes !== undefined;
  const stream = named ? byAttempt! : fingerprint;
  const here = origins.find(stream);
  const known = here ?? await origins.ask(stream, askMs(daemon, remainingMs));
  if (known === undefined) return onlyOrigin(daemon, routed);
  const { service, software, peer, knownAt } = known;
  if (software === undefined) return undefined;
  const ageMs = daemon.now() - knownAt;
  if (here === undefined) {
    return { service, software, source: "asked", peer, ageMs };
  }
  const source = peer === undefined ? "own" : "peer";
  return { service, software, source, peer, ageMs };
}

function askMs(daemon: Daemon, remainingMs: number): number {
  if (daemon.dataAges().peers === 0) return 0;
  const ms = Math.max(MIN_ASK_MS, ASK_PROPAGATIONS * daemon.propagationMs());
  return Math.min(ms, MAX_ASK_SHARE * remainingMs);
}

/**
 * Returns the only origin that a stream of the route can have: the route has one
 * service, and the service has had one version, for longer than callers wait.
 */
function onlyOrigin(
  daemon: Daemon,
  { route, service }: RoutedRequest,
): FoundOrigin | undefined {
  const [, ...others] = route.destinations;
  const ageMs = daemon.runnerListAgeMs();
  const { heardMs = Infinity } = daemon.dataAges();
  const current = Math.min(ageMs, heardMs) <= CURRENT_MS;
  const settled = (daemon.inForceMs() ?? 0) > route.timeoutMs;
  if (others.length > 0 || !current || !settled) return undefined;
  const software = daemon.softwareVersions.only(service.name, daemon.now());
  if (software === undefined) return undefined;
  return {
    service: service.name,
    software,
    source: "only_version",
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
