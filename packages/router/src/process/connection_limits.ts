/**
 * How many connections the ports of a process accept, and what they may hold.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const BYTES_PER_MB = 1024 * 1024;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Maximum share of all descriptors that is kept for files. */
const MAX_FILE_SHARE = 0.5;
/**
 * Shares of the other descriptors. The rest is for connections that this process
 * opens: to runners, other daemons and the store.
 */
const CALLER_SHARE = 0.5;
const PEER_SHARE = 0.2;
/** Maximum number of connections of other daemons: links and tunnels. */
const MAX_PEER_CONNECTIONS = 1_000;
/** Number of callers' connections if the descriptors are not known. */
const DEFAULT_CALLER_CONNECTIONS = 10_000;
/** Share of the host's memory for bytes of messages that are not complete. */
const HELD_SHARE = 1 / 16;
const MIN_HELD_MB = 8;
const MAX_HELD_MB = 32;
/** Share of the host's memory for open requests without their bodies. */
const REQUEST_SHARE = 1 / 8;
/** Memory in MB of a host of which it is not known. */
const DEFAULT_MEMORY_MB = 1_024;

/** Limits of the connections that one server accepts. */
export interface ConnectionLimits {
  readonly connections: number;
  /** Bytes of what is not complete, of all connections together. */
  readonly heldBytes: number;
}

/** Limits of the connections that a process accepts. */
export interface AcceptLimits {
  readonly callers: ConnectionLimits;
  readonly peers: ConnectionLimits;
  /** Bytes that open requests take together, without their bodies. */
  readonly requestBytes: number;
}

/** What the process has. */
export interface ProcessResources {
  readonly descriptors: number | undefined;
  /** Memory of the host in MB. */
  readonly memoryMb: number | undefined;
}

function heldBytes(memoryMb: number | undefined): number {
  const share = memoryMb === undefined ? MAX_HELD_MB : HELD_SHARE * memoryMb;
  return BYTES_PER_MB * Math.min(MAX_HELD_MB, Math.max(MIN_HELD_MB, share));
}

/**
 * Returns the limits of a process, so that connections which it accepts leave enough
 * descriptors for those that it opens.
 *
 * @example
 * ```ts
 * const { callers } = acceptLimits({ descriptors: 4_100, memoryMb: 350 });
 * callers.connections; // 1,950
 * ```
 */
export function acceptLimits(
  { descriptors, memoryMb }: ProcessResources,
): AcceptLimits {
  const held = heldBytes(memoryMb);
  const requestBytes = BYTES_PER_MB * REQUEST_SHARE *
    (memoryMb ?? DEFAULT_MEMORY_MB);
  if (descriptors === undefined) {
    return {
      callers: { connections: DEFAULT_CALLER_CONNECTIONS, heldBytes: held },
      peers: { connections: MAX_PEER_CONNECTIONS, heldBytes: held },
      requestBytes,
    };
  }
  const files = Math.min(FILE_DESCRIPTORS, MAX_FILE_SHARE * descriptors);
  const usable = descriptors - files;
  const shareOf = (share: number) => Math.max(1, Math.floor(share * usable));
  const peers = Math.min(MAX_PEER_CONNECTIONS, shareOf(PEER_SHARE));
  return {
    callers: { connections: shareOf(CALLER_SHARE), heldBytes: held },
    peers: { connections: peers, heldBytes: held },
    requestBytes,
  };
}

/**
 * Returns how many descriptors the operating system lets this process open; undefined
 * where that is unlimited or not known.
 */
export function descriptorLimit(): number | undefined {
  try {
    const limits = readFileSync("/proc/self/limits", "utf8");
    const soft = /^Max open files\s+(\d+)/m.exec(limits)?.[1];
    return soft === undefined ? undefined : Number(soft);
  } catch {
    return undefined;
  }
}
