/**
 * Coordination parts for fleets of daemons.
 *
 * @module
 */
export { SYSTEM_CLOCK } from "./process/clock.ts";
export type { Clock } from "./process/clock.ts";
export type {
  Member,
  Membership,
  MemberState,
  MemberStatus,
  View,
} from "./process/membership.ts";
export type {
  Conflict,
  Store,
  StoredObject,
  StoreEvent,
  Unavailable,
} from "./process/store.ts";
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
export { ClaimsInStore } from "./process/claims_in_store.ts";
export type { ClaimsInStoreOptions } from "./process/claims_in_store.ts";
export { HttpStore } from "./process/http_store.ts";
export type { HttpStoreOptions, StoreCounters } from "./process/http_store.ts";
export { Published } from "./version/published.ts";
export type { PublishedOptions, VersionedValue } from "./version/published.ts";
