/**
 * Messages between members. The interface lives as long as the process and is
 * defined there, so that longer-lived parts can name it.
 *
 * @module
 */
export type {
  MessageHandler,
  Peers,
  PeerUnreachable,
} from "../process/peers.ts";
