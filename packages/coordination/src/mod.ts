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
} from "./connection/peers.ts";
