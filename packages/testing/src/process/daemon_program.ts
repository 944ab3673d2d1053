/**
 * The daemon as the launcher sees it: its program, settings and first log line.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { fetchJson } from "./json_client.ts";

const READY_LIMIT_MS = 30_000;
const POLL_MS = 25;
const HTTP_OK = 200;

/** File of the daemon's program. */
export const DAEMON = fileURLToPath(
  new URL("../../../../daemon/dist/src/umbermastd.js", import.meta.url),
);

/** The log line that tells where a daemon listens. */
export const LISTENING = new RegExp(
  "event=listening .*?" + ["callers", "operators", "peers"]
    .map((name) => `${name}="?(?<${name}>[\\d.]+:\\d+)"?`).join(".*?"),
);

/** Addresses as `IP:PORT`. */
export interface Listening {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

/** The addresses in a match of `LISTENING`. */
export function readListening(match: RegExpMatchArray): Listening {
  const { callers = "", operators = "", peers = "" } = match.groups ?? {};
  return { callers, operators, peers };
}

/** What the settings of a daemon say of its place and secrets. */
export interface DaemonPlace {
  readonly name: string;
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly operatorToken: string;
  readonly peerKey: string;
  readonly platformUrl: string;
  readonly scheduler: string;
  /** Port of the proxy before its peer listener, when there is one. */
  readonly peersBehind?: number;
}

/** Where a daemon listens for its peers when a proxy is before it. */
export const PEER_ADDRESS = "127.0.0.2";

function peersOf({ address, peersBehind: port }: DaemonPlace): object {
  if (port === undefined) return { address, port: 0 };
  return { address, port, listen: { address: PEER_ADDRESS, port } };
}

/** Settings of a daemon that listens on ports of the system's choice. */
export function daemonSettings(place: DaemonPlace): object {
  const { name, region, failureDomain, address, scheduler } = place;
  return {
    name,
    region,
    failureDomain,
    listen: { address, port: 0 },
    operators: { address, port: 0, token: place.operatorToken },
    peers: { ...peersOf(place), key: place.peerKey },
    platform: { url: place.platformUrl },
    scheduler,
  };
}

/** Waits until a daemon's operators' port says that it is ready. */
export async function waitReady(
  operatorUrl: string,
  options: {
    readonly token: string;
    readonly signal: AbortSignal | undefined;
  },
): Promise<void> {
  const until = Date.now() + READY_LIMIT_MS;
  while (Date.now() < until) {
    options.signal?.throwIfAborted();
    const answer = await fetchJson(`${operatorUrl}/readyz`, {
      headers: { authorization: `Bearer ${options.token}` },
    }).catch(() => undefined);
    if (answer?.status === HTTP_OK) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Cannot start daemon: "${operatorUrl}" does not get ready`);
}
