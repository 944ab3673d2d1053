/**
 * Admission and queueing for plain services: which runner a request goes to,
 * whether it has to wait, and whether waiting is of use.
 *
 * @module
 */
import type { PlainCapacity } from "../process/plain_capacity.ts";
import type { Runner } from "../process/runner.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { penaltyFactor, REMOTE_DOMAIN_PENALTY } from "./runner_penalties.ts";

/** The state on which decisions about a plain service are based. */
export interface PlainState {
  readonly capacity: PlainCapacity;
  /** Milliseconds within which a change at one daemon reaches all others. */
  readonly propagationMs: number;
  /**
   * Share of the daemons known lately whose requests this daemon hears of; less
   * than 1 while it is cut off from others.
   */
  readonly heardShare: number;
  /** Number of daemons that send to the runners. */
  readonly daemons: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** A fleet of plain runners that are scheduled adaptively. */
export type PlainFleet = RunnerFleet & { readonly plain: PlainState };

/** Capacity of one runner for one request. */
export interface PlainRoom {
  readonly runner: Runner;
  /** Milliseconds that the runner works on a request; undefined if unknown. */
  readonly responseMs: number | undefined;
  /** Requests at the runner, from all daemons. */
  readonly requests: number;
  /** The same without those that it has completed, as far as is expected. */
  readonly pending: number;
  /** Requests ahead in the runner's queue. */
  readonly ahead: number;
  /** Requests that the runner may have at a time. */
  readonly limit: number;
  /**
   * Requests that the runner completes before the daemons know of it. They are
   * still counted in `requests`.
   */
  readonly unreported: number;
  /** Expected milliseconds until the request gets a slot. */
  readonly delayMs: number;
}

/**
 * Share of the time that a request may wait, by which the queue ahead of one
 * that is late must be shorter. Newer requests that can still be on time go
 * first; beside a longer queue, a late one would wait only to be refused.
 */
const LATE_QUEUE_SHARE = 0.15;
/**
 * Part of the longest wait up to which requests are queued in any case, however
 * late daemons hear of each other's.
 */
const MIN_BOUND_SHARE = 0.5;
/**
 * Part of the longest wait over which the share of refused requests grows from
 * none to all, at least. It is this many propagation times where those are
 * longer: daemons hear of each other's waiting requests late, and with a sharp
 * bound all of them queue requests at one moment and refuse them at the next.
 */
const MIN_RAMP_SHARE = 0.3;
const RAMP_PROPAGATION_TIMES = 2;
/** The same at most, so that none is refused while the queue is short. */
const MAX_RAMP_SHARE = 0.8;
/**
 * Requests that daemons queue together, as a multiple of those that the slots
 * serve. Each takes the same part of them. Without this, at 30 daemons, six
 * slots and a target of 250 ms, three times the capacity filled the queues with
 * requests that became late before daemons heard of them: 0.64 of what the slots
 * can was served instead of 0.92.
 */
const QUOTA = 1.2;
/**
 * Part of the longest wait that the requests ahead must take for the quota to
 * apply. Daemons that get few requests leave a part of their quota unused; while
 * the queue is short, others take it. Requests that go first, by rank or share,
 * are not refused for those behind them.
 */
const QUOTA_FROM = 0.15;

/**
 * Share of the propagation time in which most daemons know of a change: 44 of
 * 90 ms, measured with 30 daemons.
 */
const KNOWN_SHARE = 0.5;
/**
 * Responses by whose time another queue must be shorter before a request
 * changes to it. Queues are known late: with 30 daemons, a queue of 5 requests
 * appears to vary by 3.
 */
const MOVE_RESPONSES = 2;

/** Whether decisions about plain requests apply to a fleet. */
export function isQueued(fleet: RunnerFleet): fleet is PlainFleet {
  return fleet.plain !== undefined;
}

/** Milliseconds that a runner works on one request; undefined if unknown. */
function responseMsOf(
  { plain, pace, now }: PlainFleet,
  { id, slots }: Runner,
): number | undefined {
  const known = pace.responseMs(id, now);
  return known ?? plain.capacity.responseMs(id, Math.max(1, slots), now);
}

/** Requests that go before a request in the queue of a runner. */
function aheadAt(
  { plain, loads, now }: PlainFleet,
  { queueKey }: Demand,
  runner: string,
): number {
  const since = now - KNOWN_SHARE * plain.propagationMs;
  return loads.of(runner).queue.workAhead(queueKey, now, since).requests;
}

/**
 * Returns the capacity of a runner for a request.
 *
 * A runner takes as many requests as it has slots, and a few more so that no
 * slot is idle between two requests. The count of requests is late: it includes
 * those that were completed within the last propagation time. While requests
 * wait, the runner gets as many more, since all daemons know the queue and
 * send from it in the same order. At first nothing has been completed, so a
 * burst that meets an idle runner gets no more than it takes; a bound by the
 * time of a response alone would allow 6 requests at 2 slots and 90 ms.
 *
 * A daemon that is cut off hears of a part of the requests only, and uses the
 * same part of the slots.
 */
export function roomAt(
  fleet: PlainFleet,
  demand: Demand,
  runner: Runner,
): PlainRoom {
  const { plain, loads, now } = fleet;
  const { capacity, propagationMs, heardShare } = plain;
  const load = loads.of(runner.id);
  const slots = Math.max(1, runner.slots);
  const completed = capacity.completionsWithin(runner.id, propagationMs, {
    completed: load.total.answered - load.total.failed,
    now,
  });
  const responseMs = responseMsOf(fleet, runner);
  const cutOff = heardShare < 1;
  // What a runner stated is outdated when its requests can have ended, and
  // daemons that hear of each other know of later ones.
  const reportTtlMs = cutOff ? responseMs ?? propagationMs : propagationMs;
  const requests = load.requestCount(now, reportTtlMs);
  const ahead = aheadAt(fleet, demand, runner.id);
  const share = cutOff ? Math.max(1, Math.round(slots * heardShare)) : slots;
  const limit = Math.max(1, share + capacity.slack(runner.id));
  const unreported = responseMs === undefined
    ? completed
    : Math.min(completed, propagationMs * slots / responseMs);
  const pending = Math.max(0, requests - KNOWN_SHARE * unreported);
  const delayMs = Math.max(0, pending + ahead + 1 - slots) *
    (responseMs ?? 0) / slots;
  return {
    runner,
    responseMs,
    requests,
    pending,
    ahead,
    limit,
    unreported,
    delayMs,
  };
}

/**
 * Returns the part of a response's time in which the runner worked on it,
 * without the time in which it waited there for a slot.
 */
export function workMsOf(room: PlainRoom, elapsedMs: number): number {
  const slots = Math.max(1, room.runner.slots);
  return elapsedMs / Math.max(1, (room.pending + 1) / slots);
}

/**
 * Requests that a runner takes now. The longer a request has waited, the more
 * daemons know of it, and the fewer others are sent to the same place: it may
 * count on completions that are not reported yet.
 *
 * @param waitedMs milliseconds that the request has been in its queue.
 */
function freePlaces(
  { plain }: PlainFleet,
  { limit, requests, unreported }: PlainRoom,
  waitedMs: number,
): number {
  const known = Math.min(1, waitedMs / Math.max(1, plain.propagationMs));
  return Math.max(0, Math.floor(limit + known * unreported - requests));
}

/** Whether the runner that a request waits for has a place for it. */
function hasQueueCapacity(
  fleet: PlainFleet,
  { waitedMs = 0 }: Demand,
  room: PlainRoom,
): boolean {
  return room.ahead < freePlaces(fleet, room, waitedMs);
}

/** Returns the capacity of the runner that a request waits for. */
function awaitedRoom(
  { awaitedRunner }: Demand,
  rooms: readonly PlainRoom[],
): PlainRoom | undefined {
  return rooms.find(({ runner }) => runner.id === awaitedRunner);
}

/**
 * Returns the runners to which a request can be sent, whichever it waits for:
 * there are more free places at the service's runners than requests that go
 * first, at whichever runner they wait. With the queue of each runner alone,
 * all requests that wait elsewhere would be sent to the first runner that is
 * free.
 */
function openRooms(
  fleet: PlainFleet,
  demand: Demand,
  rooms: readonly PlainRoom[],
): readonly PlainRoom[] {
  let places = 0;
  const open = rooms.filter((room) => {
    const free = freePlaces(fleet, room, 0);
    places += free;
    return free > 0;
  });
  if (places === 0) return open;
  let ahead = 0;
  for (const { id } of fleet.runners) {
    ahead += aheadAt(fleet, demand, id);
    if (ahead >= places) return [];
  }
  return open;
}

/** Time of a request at a runner, in ms or relative, with what speaks against it. */
function costOf(fleet: PlainFleet, room: PlainRoom): number {
  const { runner, responseMs = 1 } = room;
  const load = fleet.loads.of(runner.id);
  const remote = runner.failureDomain === fleet.failureDomain
    ? 0
    : REMOTE_DOMAIN_PENALTY / Math.max(1, runner.slots);
  return responseMs * (1 + remote) * penaltyFactor(runner, load, fleet.now) *
    (1 + load.failures);
}

/**
 * Draws one of the runners with free places. Daemons learn of each other's
 * requests late; if each sent to the least loaded runner, those of one
 * propagation time would all go to the same. So each runner gets a share by
 * its free places, and by the square of its speed: a slow one gets requests
 * when the others are nearly full. Free slots go before places in which a
 * request waits at the runner.
 */
function drawRoom(
  fleet: PlainFleet,
  open: readonly PlainRoom[],
): PlainRoom {
  const freeSlots = ({ runner, requests }: PlainRoom) =>
    Math.max(0, runner.slots - requests);
  const some = open.some((room) => freeSlots(room) > 0);
  const weights = open.map((room) =>
    (some ? freeSlots(room) : freePlaces(fleet, room, 0)) /
    costOf(fleet, room) ** 2
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  let drawn = fleet.plain.random() * sum;
  for (const [index, weight] of weights.entries()) {
    drawn -= weight;
    if (drawn < 0) return open[index]!;
  }
  return open.at(-1)!;
}

/** Expected time until the response, with what speaks against the runner. */
function expectedMs(fleet: PlainFleet, room: PlainRoom): number {
  const queued = room.pending + room.ahead;
  return costOf(fleet, room) *
    Math.max(1, (queued + 1) / Math.max(1, room.runner.slots));
}

/**
 * Selects the runner whose queue a request joins: the better one of two that
 * are drawn, if it gets a slot in time there. If all daemons chose the shortest
 * queue, the requests of one propagation time would join the same. A request that
 * waits changes its queue only for one that is shorter by the time that the change
 * costs.
 */
function chooseQueue(
  fleet: PlainFleet,
  demand: Demand,
  rooms: readonly PlainRoom[],
): PlainRoom {
  const byTime = [...rooms].sort((one, other) =>
    expectedMs(fleet, one) - expectedMs(fleet, other)
  );
  const best = byTime[0]!;
  const awaited = awaitedRoom(demand, rooms);
  if (awaited !== undefined) {
    const gainMs = expectedMs(fleet, awaited) - expectedMs(fleet, best);
    const costMs = fleet.plain.propagationMs +
      MOVE_RESPONSES * (awaited.responseMs ?? 0);
    return gainMs > costMs ? best : awaited;
  }
  const { random } = fleet.plain;
  const first = Math.floor(random() * byTime.length);
  const second = Math.floor(random() * (byTime.length - 1));
  const drawn = byTime[Math.min(first, second < first ? second : second + 1)] ??
    best;
  return fleet.now + drawn.delayMs <= demand.queueKey.startBy ? drawn : best;
}

/** The runner for a plain request. */
export interface PlainChoice {
  readonly room: PlainRoom;
  /** Whether the request has to wait. */
  readonly overloaded: boolean;
}

/**
 * Selects the runner for a request of a plain service.
 *
 * The load that it answers: callers that ask for three times what four runners
 * of two slots serve, at 7 and 30 daemons. Runners that are sent all of it
 * refuse two of three offers, whichever request is the more urgent.
 */
export function choosePlainRunner(
  fleet: PlainFleet,
  demand: Demand,
  runners: readonly Runner[],
): PlainChoice {
  const rooms = runners.map((runner) => roomAt(fleet, demand, runner));
  const awaited = awaitedRoom(demand, rooms);
  if (awaited !== undefined && hasQueueCapacity(fleet, demand, awaited)) {
    return { room: awaited, overloaded: false };
  }
  const open = openRooms(fleet, demand, rooms);
  return open.length > 0
    ? { room: drawRoom(fleet, open), overloaded: false }
    : { room: chooseQueue(fleet, demand, rooms), overloaded: true };
}

/** Whether a request that waits may be sent to one of the runners now. */
export function maySendPlain(
  fleet: PlainFleet,
  demand: Demand,
  runners: readonly Runner[],
): boolean {
  const rooms = runners.map((runner) => roomAt(fleet, demand, runner));
  const awaited = awaitedRoom(demand, rooms);
  return (awaited !== undefined && hasQueueCapacity(fleet, demand, awaited)) ||
    openRooms(fleet, demand, rooms).length > 0;
}

/**
 * Requests that the slots of all runners serve in a millisecond.
 *
 * @param usualMs time of work at runners of which it is unknown.
 */
function servedPerMs(fleet: PlainFleet, usualMs: number): number {
  return fleet.runners.reduce(
    (sum, runner) =>
      sum +
      Math.max(1, runner.slots) / (responseMsOf(fleet, runner) ?? usualMs),
    0,
  );
}

/**
 * Whether waiting is of use to a request, given the shortest wait at any
 * runner. A request that arrives while the queue takes as long as its target
 * allows is refused at once, so that the queue holds no more than can be served
 * on time. Before that, a growing share of requests is refused, and each daemon
 * queues only its part of what can be served. One that becomes late nevertheless
 * gets what others leave, as long as there is any: the queue is clearly shorter,
 * and the response comes before the deadline.
 */
export function isWaitUseful(
  fleet: PlainFleet,
  demand: Demand,
  options: {
    readonly runners: readonly Runner[];
    /** When the caller gets its final response at the latest. */
    readonly expiresAt: number;
  },
): boolean {
  const { expiresAt, runners } = options;
  const { queueKey: { rank, arrivedAt, startBy }, awaitedRunner } = demand;
  const { now, plain } = fleet;
  let shortest: PlainRoom | undefined;
  for (const runner of runners) {
    const room = roomAt(fleet, demand, runner);
    if (shortest === undefined || room.delayMs < shortest.delayMs) {
      shortest = room;
    }
  }
  if (shortest === undefined) return true;
  const { delayMs, ahead, responseMs = 0 } = shortest;
  if (now + delayMs + responseMs > expiresAt) return false;
  const longestMs = startBy - arrivedAt;
  if (now > startBy) return delayMs <= LATE_QUEUE_SHARE * longestMs;
  if (awaitedRunner !== undefined) return true;
  const boundMs = Math.max(
    MIN_BOUND_SHARE * longestMs,
    longestMs - KNOWN_SHARE * plain.propagationMs,
  );
  const rampMs = Math.min(
    MAX_RAMP_SHARE * boundMs,
    Math.max(
      MIN_RAMP_SHARE * boundMs,
      RAMP_PROPAGATION_TIMES * plain.propagationMs,
    ),
  );
  const share = (boundMs - delayMs) / rampMs;
  const aheadMs = ahead * responseMs / Math.max(1, shortest.runner.slots);
  const quota = Math.min(aheadMs, delayMs) > QUOTA_FROM * boundMs
    ? QUOTA * servedPerMs(fleet, responseMs) /
      (plain.daemons * plain.capacity.arrivalsPerMs(rank, now))
    : 1;
  return Math.min(1, share) * Math.min(1, quota) > plain.random();
}

/**
 * Share of the target that a request may wait in any case, however long its
 * response takes.
 */
const MIN_WAIT_SHARE = 0.2;
/** Time at a runner in multiples of its work: it may wait there for a slot. */
const TIME_AT_RUNNER = 2;

/**
 * Returns how long a request may wait and still be answered within its target;
 * undefined if it is not known how long responses take.
 */
export function maxWaitMs(
  fleet: PlainFleet,
  targetMs: number,
): number | undefined {
  const known = fleet.runners.map((runner) => responseMsOf(fleet, runner))
    .filter((ms) => ms !== undefined);
  if (known.length === 0) return undefined;
  const meanMs = known.reduce((sum, ms) => sum + ms, 0) / known.length;
  return Math.max(
    MIN_WAIT_SHARE * targetMs,
    targetMs - TIME_AT_RUNNER * meanMs,
  );
}
