/**
 * What failures of each size do to each role, in figures that follow from the
 * plan.
 *
 * @module
 */
import { derive, PLAN } from "./capacity_plan.ts";

/** What one kind of failure does to each role. */
export interface Failure {
  readonly name: string;
  /** How often, and what is gone. */
  readonly extent: string;
  readonly effects: readonly Effect[];
}

/** What a failure does to one role. */
export interface Effect {
  readonly role: string;
  readonly text: string;
}

/** Hosts in a rack; the plan does not say. */
const HOSTS_PER_RACK = 20;
/** Of membership's defaults: periods from suspicion to removal, and stretch. */
const SUSPICION_SECONDS = 3 * Math.log10(PLAN.daemons);
const SUSPICION_STRETCH = 3;
/** Of membership's defaults: times that an item of news is sent by a member. */
const NEWS_SENT = 3 * Math.log2(PLAN.daemons);
/** Of membership's defaults: 2 datagrams of 1,400 bytes four times a second. */
const NEWS_BYTES_PER_SECOND = 8 * 1_400;
/** Size of one item of news, an estimate from its fields. */
const NEWS_BYTES = 70;
/** Size of a held slot in a presentation, an estimate from its fields. */
const HELD_BYTES = 100;
const KILO = 1_000;
const PERCENT = 100;

const size = derive();

function whole(value: number): string {
  return Math.round(value).toLocaleString("en-GB");
}

function percent(part: number, of: number): string {
  return `${(PERCENT * part / of).toFixed(1)}%`;
}

/** Part of the plan that fails together. */
interface Lost {
  readonly daemons: number;
  readonly runners: number;
}

function entryText(lost: Lost): string {
  const entries = lost.daemons * size.streamsPerDaemon;
  const engines = lost.runners * size.streamsPerRunner;
  const growth = PLAN.daemons / (PLAN.daemons - lost.daemons) - 1;
  return `${whole(entries)} streams break with their daemons and end for the ` +
    `caller in a broken connection, never in \`[DONE]\`; ` +
    `${whole(engines)} break at runners and are resumed, retried (at most ` +
    `one for ten successes), or ended in an error event. Each remaining daemon gets ` +
    `${(PERCENT * growth).toFixed(1)}% more requests.`;
}

function brokerText(lost: Lost): string {
  const shards = size.shards * lost.daemons / PLAN.daemons;
  const resent = shards * size.streamsPerShard;
  return `About ${shards.toFixed(1)} of ${whole(size.shards)} shards get a ` +
    `new broker, which learns ${whole(resent)} held grants (about ` +
    `${
      whole(resent * HELD_BYTES / KILO)
    } KB over the fleet) from the entries; ` +
    `until then entries fall back to the next daemon in hash order, higher ` +
    `tiers first. ${
      percent(lost.runners, PLAN.runners)
    } of the slots are gone.`;
}

function ownerText(lost: Lost): string {
  return `${percent(lost.daemons, PLAN.daemons)} of the partitions get a new ` +
    `owner. Claims under way are resolved from the store: a claim that was ` +
    `written stands, the caller of a lost daemon gets 409 or its kept answer.`;
}

function watcherText(lost: Lost): string {
  const watchers = lost.daemons * size.watchers / PLAN.daemons;
  return `${watchers.toFixed(2)} watchers go on average and hashing names ` +
    `others; a gap of the others is seen from versions on heartbeats and ` +
    `filled from any peer.`;
}

function shareText(lost: Lost): string {
  const rows = lost.daemons * size.rowsPerDaemon;
  return `Once shards are used: ${
    whole(rows)
  } rows get a new owner; until it ` +
    `has reports, shares run out to limit / shards, whose sum stays within ` +
    `the limit. Today a service's limits move with its broker.`;
}

function memberText(lost: Lost): string {
  const newsSeconds = lost.daemons * NEWS_SENT * NEWS_BYTES /
    NEWS_BYTES_PER_SECOND;
  const most = 2 * NEWS_BYTES_PER_SECOND / KILO;
  return `Suspected within a second or two, removed after ` +
    `${SUSPICION_SECONDS.toFixed(1)} s when several share the suspicion and ` +
    `${(SUSPICION_STRETCH * SUSPICION_SECONDS).toFixed(0)} s when none does. ` +
    `The news keeps each member busy for ${newsSeconds.toFixed(1)} s, at up ` +
    `to ${most.toFixed(0)} KB/s both ways; probes stay one a second.`;
}

function effectsOf(lost: Lost): readonly Effect[] {
  return [
    { role: "Entry", text: entryText(lost) },
    { role: "Broker", text: brokerText(lost) },
    { role: "Partition owner", text: ownerText(lost) },
    { role: "Watcher", text: watcherText(lost) },
    { role: "Share owner", text: shareText(lost) },
    { role: "Member", text: memberText(lost) },
  ];
}

function cutEffects(): readonly Effect[] {
  const near = size.daemonsPerRegion;
  const far = PLAN.daemons - near;
  const shards = size.shards / PLAN.regions;
  return [
    {
      role: "Entry",
      text: `The region's ${whole(near)} daemons serve its callers with its ` +
        `own ${whole(PLAN.runners / PLAN.regions)} runners. Streams across ` +
        `the cut go silent, are given up at the idle timeout and resumed or ` +
        `ended in an error event.`,
    },
    {
      role: "Broker",
      text: `Each side elects brokers for all ${whole(size.shards)} shards; ` +
        `only the ${whole(shards)} whose runners it reaches get work. Where ` +
        `both sides reach a runner, two brokers fill it: each sees foreign ` +
        `work in the load reports and lowers its slots.`,
    },
    {
      role: "Partition owner",
      text: "A side that reaches the store goes on, two owners of a " +
        "partition meet in conditional updates and one retries. A side that " +
        "does not reach it refuses what may not be repeated as not run, 503.",
    },
    {
      role: "Watcher",
      text: "A region that reaches the store keeps its own watchers. One " +
        "that does not stays at the version it has, which never reverts, and " +
        "catches up from the first peer it reaches.",
    },
    {
      role: "Share owner",
      text: `Each side has an owner for every row. Both dividing the whole ` +
        `limit could let it be passed; shares that are not renewed across ` +
        `the cut run out to limit / shards.`,
    },
    {
      role: "Member",
      text: `Each side suspects and removes ${whole(far)} or ` +
        `${whole(near)} members within the suspicion time, keeps probing ` +
        `those that the platform lists, and takes them back after the cut.`,
    },
  ];
}

/** The kinds of failures, from small to large. */
export function failures(): readonly Failure[] {
  const inRack = PLAN.daemons + PLAN.runners;
  const rack = {
    daemons: Math.ceil(HOSTS_PER_RACK * PLAN.daemons / inRack),
    runners: Math.floor(HOSTS_PER_RACK * PLAN.runners / inRack),
  };
  const domain = {
    daemons: Math.round(size.daemonsPerDomain),
    runners: Math.round(size.runnersPerDomain),
  };
  const perDay = PLAN.hostFailuresPerDay + PLAN.hostRestartsPerDay;
  return [
    {
      name: "A host",
      extent: `One daemon and, elsewhere, one runner; ` +
        `${PLAN.hostFailuresPerDay} hosts fail and ` +
        `${PLAN.hostRestartsPerDay} restart on an ordinary day, ` +
        `one every ${whole(86_400 / perDay)} s.`,
      effects: effectsOf({ daemons: 1, runners: 1 }),
    },
    {
      name: "A rack",
      extent: `Every month or two; taken as ${HOSTS_PER_RACK} hosts in ` +
        `proportion, ${rack.daemons} daemons and ${rack.runners} runners.`,
      effects: effectsOf(rack),
    },
    {
      name: "A failure domain",
      extent: `A few times a year: ${domain.daemons} daemons and ` +
        `${domain.runners} runners at once. With ` +
        `${percent(domain.runners, PLAN.runners)} of the runners gone, ` +
        `demand at the peak exceeds what is left if runners were more than ` +
        `${percent(PLAN.runners - domain.runners, PLAN.runners)} busy; then ` +
        `the lowest tiers wait and are shed first.`,
      effects: effectsOf(domain),
    },
    {
      name: "An hour's cut between regions",
      extent: `One region of ${PLAN.regions} apart from the others.`,
      effects: cutEffects(),
    },
  ];
}
