/**
 * Coordination primitives for fleets of daemons: membership, links, leases,
 * claims, shared limits and published values.
 *
 * @module
 */
export { DEFAULT_LINK_SETTINGS } from "./connection/link_settings.ts";
export type { LinkSettings } from "./connection/link_settings.ts";
export { startNode } from "./node.ts";
export type { CoordinationNode, NodeOptions, NodeTraffic } from "./node.ts";
export { SYSTEM_CLOCK } from "./process/clock.ts";
export type { Clock } from "./process/clock.ts";
export { CompositeDigest } from "./process/composite_digest.ts";
export { NO_DIGEST } from "./process/digest.ts";
export type { Digest } from "./process/digest.ts";
export type { Endpoint, ListenFailed } from "./process/endpoint.ts";
export { fixedHostList, parseHosts } from "./process/host_list.ts";
export type {
  Host,
  HostFinding,
  HostList,
  ParsedHosts,
} from "./process/host_list.ts";
export { followHostList } from "./process/host_list_client.ts";
export type { HostListClientOptions } from "./process/host_list_client.ts";
export type {
  IncarnationRaised,
  MemberChanged,
  MembershipEvent,
  ProcessPaused,
  SuspicionRefuted,
} from "./process/membership_event.ts";
export type { Health } from "./process/membership_record.ts";
export { DEFAULT_PROBE_SETTINGS } from "./process/membership_settings.ts";
export type { ProbeSettings } from "./process/membership_settings.ts";
export type {
  Member,
  Membership,
  MemberState,
  MemberStatus,
  View,
} from "./process/membership.ts";
export { boundedOwners, Rendezvous, rendezvous } from "./process/rendezvous.ts";
export type {
  Conflict,
  ObjectKey,
  ObjectWrite,
  Store,
  StoreChanges,
  StoredObject,
  StoreEvent,
  StoreListing,
  Unavailable,
  WatchOptions,
  WriteCondition,
} from "./process/store.ts";
export { peerUnreachable } from "./process/peers.ts";
export type {
  MessageHandler,
  Peers,
  PeerUnreachable,
} from "./process/peers.ts";
export type {
  Claim,
  ClaimOutcome,
  Claims,
  ClaimSettlement,
  ClaimUnavailable,
  KeptAnswer,
} from "./process/claims.ts";
export { NO_CRASH_POINTS } from "./process/crash_points.ts";
export type { CrashPoint, CrashPoints } from "./process/crash_points.ts";
export { ClaimsInStore } from "./process/claims_in_store.ts";
export type { ClaimsInStoreOptions } from "./process/claims_in_store.ts";
export { HttpStore } from "./process/http_store.ts";
export type { HttpStoreOptions, StoreCounters } from "./process/http_store.ts";
export { Lease } from "./process/lease.ts";
export type { LeaseOptions, Tenure } from "./process/lease.ts";
export { DEFAULT_CLAIM_SETTINGS } from "./process/claim_settings.ts";
export type { ClaimSettings } from "./process/claim_settings.ts";
export { PauseDetector } from "./process/pause_detector.ts";
export type { PauseDetectorOptions } from "./process/pause_detector.ts";
export { Shares } from "./process/shares.ts";
export type { Share, SharedLimit, SharesOptions } from "./process/shares.ts";
export type { ShareTimes } from "./process/share_holding.ts";
export { PublishedValue } from "./version/published_value.ts";
export type {
  PublishedValueOptions,
  VersionedValue,
} from "./version/published_value.ts";
export type { Traffic } from "./process/traffic.ts";
