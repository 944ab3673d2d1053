/**
 * Detects that this daemon stays behind the versions of its peers.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { Versions } from "./peer_message.ts";

/** Time in ms behind a peer after which it is logged; newer data takes a few ms. */
const LOG_AFTER_MS = 1_000;

/** The first newer versions that a peer sent, until this daemon has them. */
interface Episode {
  readonly peer: string;
  readonly versions: Versions;
  readonly since: number;
  /** Requests for newer data and responses to them since then. */
  requests: number;
  responses: number;
  logged: boolean;
}

/**
 * Tracks for how long this daemon has lacked versions that a peer has. An episode
 * ends when this daemon has the versions with which it began: lists of runners
 * change so often that some peer always has a newer one.
 */
export class VersionLag {
  readonly #log: EventLog;
  #episode: Episode | undefined;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Records the versions of a peer. */
  record(
    peer: string,
    { own, theirs, now }: {
      readonly own: Versions;
      readonly theirs: Versions;
      readonly now: number;
    },
  ): void {
    this.check(own, now);
    if (this.#episode !== undefined || !isBehind(own, theirs)) return;
    const { configuration, runners } = theirs;
    this.#episode = {
      peer,
      versions: { configuration, runners },
      since: now,
      requests: 0,
      responses: 0,
      logged: false,
    };
  }

  /** Counts a request for newer data. */
  requested(): void {
    if (this.#episode !== undefined) this.#episode.requests += 1;
  }

  /** Counts a response with newer data. */
  responded(): void {
    if (this.#episode !== undefined) this.#episode.responses += 1;
  }

  /** Milliseconds since a peer first sent newer versions; undefined without any. */
  behindMs(own: Versions, now: number): number | undefined {
    const episode = this.#episode;
    if (episode === undefined || !isBehind(own, episode.versions)) return;
    return now - episode.since;
  }

  /** Logs an episode that lasts or, if it has been logged, its end. */
  check(own: Versions, now: number): void {
    const episode = this.#episode;
    if (episode === undefined) return;
    const { peer, versions, since, requests, responses, logged } = episode;
    const behind = isBehind(own, versions);
    if (!behind) this.#episode = undefined;
    const due = behind ? !logged && now - since >= LOG_AFTER_MS : logged;
    if (!due) return;
    episode.logged = true;
    this.#log.event(behind ? "versions_behind" : "versions_caught_up", {
      peer,
      configuration: own.configuration,
      runners: own.runners,
      peer_configuration: versions.configuration,
      peer_runners: versions.runners,
      behind_ms: Math.round(now - since),
      requests,
      responses,
    });
  }
}

function isBehind(own: Versions, theirs: Versions): boolean {
  return theirs.configuration > own.configuration ||
    theirs.runners > own.runners;
}
