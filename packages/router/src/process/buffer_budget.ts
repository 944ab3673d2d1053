/**
 * Bounds the bytes that the daemon buffers for callers and runners.
 *
 * @module
 */

import { ArrivingBodies } from "./arriving_bodies.ts";

const BYTES_PER_MB = 1024 * 1024;
/**
 * Share of the total that request bodies may use, and that answers may use, so
 * that neither kind leaves no room for the other: 16 callers that read nothing
 * would otherwise make the daemon refuse every request with a body.
 */
const KIND_SHARE = 0.75;
/** Share of the total that one caller may use. */
const CALLER_SHARE = 0.5;
/**
 * Share of the room for answers, and of the total, that callers may use which read
 * nothing at the moment. Without it, 60 of them left no room for the stream of a
 * caller that read, whose runner was paused again after each chunk.
 */
const STALLED_SHARE = 0.75;
/** Time in ms without any read after which a caller counts as stalled. */
const STALL_MS = 500;
/** Most bytes that one read of a runner's connection returns. */
const READ_BYTES = 64 * 1024;
/**
 * Bytes below a limit from which on a runner that waits for room is read again, so
 * that it is not resumed for a part of one read. With 512 KB, a caller that read
 * 320 KB a second was cut, because its runner stayed unread for more than 1 s.
 */
const RESUME_BYTES = 2 * READ_BYTES;
/** The same as a share of small limits. */
const MAX_RESUME_SHARE = 1 / 16;
/** How the size of the budget follows from the memory of the host. */
interface DefaultSize {
  readonly memoryShare: number;
  readonly minMb: number;
  readonly maxMb: number;
}

/**
 * Where streams are held. The heap takes up to 120 MB, code and native memory about
 * 50 MB, which leaves 40 MB on the smallest hosts with 210 MB. The maximum leaves
 * 8 MB to one caller, enough for an answer of 6.4 MB. A larger budget mainly holds
 * more for callers that read nothing: with 16 MB and 60 of them, memory peaked 9 to
 * 15 MB above that of a daemon that holds nothing.
 */
const HELD_STREAMS: DefaultSize = { memoryShare: 1 / 12, minMb: 8, maxMb: 16 };
/**
 * Where the runner of a stream is paused for its caller. Only bodies and whole
 * answers count then; the maximum leaves one caller an answer of 16 MB.
 */
const PAUSED_STREAMS: DefaultSize = {
  memoryShare: 1 / 8,
  minMb: 16,
  maxMb: 32,
};

/** Limits of the buffered bytes. */
export interface BufferLimits {
  /** For all callers together. */
  readonly totalBytes: number;
  readonly callerBytes: number;
}

/** Returns the limits for a budget of the given size. */
export function bufferLimits(megabytes: number): BufferLimits {
  const totalBytes = megabytes * BYTES_PER_MB;
  return { totalBytes, callerBytes: CALLER_SHARE * totalBytes };
}

/** Returns the limits for a budget in which only bodies are counted. */
export function bodyLimits(bytes: number): BufferLimits {
  return { totalBytes: bytes / KIND_SHARE, callerBytes: bytes };
}

/**
 * Returns the default size of the budget in MB on a host with this memory.
 *
 * @param options.holdsStreams whether what callers do not read of streams is held.
 */
export function defaultBufferMb(
  memoryMb: number | undefined,
  { holdsStreams }: { readonly holdsStreams: boolean },
): number {
  const { memoryShare, minMb, maxMb } = holdsStreams
    ? HELD_STREAMS
    : PAUSED_STREAMS;
  if (memoryMb === undefined) return maxMb;
  return Math.min(maxMb, Math.max(minMb, memoryMb * memoryShare));
}

/** Why an answer was cut, and what was known of its caller. */
export interface AnswerCut {
  /** Which limit was exceeded. */
  readonly limit: "caller" | "total";
  /** Bytes of the answer that the caller had not read. */
  readonly bytes: number;
  /** Bytes that the caller read since the first byte had to wait for it. */
  readonly readBytes: number;
  /** Time since then, in ms; 0 if the answer did not wait for its caller. */
  readonly heldMs: number;
  /** Buffered bytes of all callers before the cut. */
  readonly totalBytes: number;
}

/** What happens to an answer whose bytes are counted. */
export interface AnswerListener {
  /** There is room again for an answer that waited for it. */
  resume(): void;
  /** The answer must end now; its bytes no longer count. */
  cut(cut: AnswerCut): void;
}

/** A request body that is counted. */
export interface CountedBody {
  readonly caller: object;
  bytes: number;
  /** Ends the request while its body arrives; the body no longer counts. */
  readonly end: () => void;
}

/** An answer that is counted. */
export interface CountedAnswer {
  readonly caller: object;
  readonly listener: AnswerListener;
  bytes: number;
  /** Bytes that the caller has read since the first one had to wait for it. */
  readBytes: number;
  /** When that byte began to wait; undefined if nothing waits for the caller. */
  heldSince: number | undefined;
  /** When the caller last read, or that byte began to wait. */
  lastReadAt: number;
}

/** Buffered bytes by kind. */
export interface BufferedBytes {
  readonly bodies: number;
  readonly answers: number;
}

/**
 * Time in ms that the caller of an answer will need for the rest of it at the pace
 * at which it has read so far. An answer that has just begun to wait counts as
 * fast, whatever its size; one of which nothing is read as slower the larger and
 * older it is.
 */
function remainingMs(answer: CountedAnswer, now: number): number {
  const heldMs = Math.max(1, now - answer.heldSince!);
  return answer.bytes * heldMs / Math.max(1, answer.readBytes);
}

/** Returns the bytes up to which runners that wait for room are read again. */
function resumable(limit: number): number {
  return limit - Math.min(RESUME_BYTES, MAX_RESUME_SHARE * limit);
}

/**
 * Counts the bytes that wait for callers or runners: bodies of requests, answers
 * that are received whole before they are relayed, and unread bytes of streams.
 * Load that it answers: callers that stop reading, 60 at once with answers of
 * 6.4 MB each, beside ordinary requests on a host of 210 MB.
 *
 * A body that does not fit is not accepted. An answer that does not fit waits,
 * which pauses its runner; if it has waited for as long as a runner may be left
 * unread, {@linkcode makeRoom} cuts the answer of the slowest caller. Pausing
 * first means that a caller that reads, though slower than a fast runner sends, is
 * not cut.
 *
 * Bytes that the operating system holds for a connection are not counted, since
 * Node does not show them.
 *
 * @example
 * ```ts
 * const budget = new BufferBudget(bufferLimits(16));
 * const answer = budget.openAnswer(socket, listener);
 * if (!budget.setUnread(answer, bytes, now)) incoming.pause();
 * ```
 */
export class BufferBudget {
  readonly #limits: BufferLimits;
  readonly #byCaller = new WeakMap<object, number>();
  readonly #arriving = new ArrivingBodies<CountedBody>();
  readonly #answers = new Set<CountedAnswer>();
  /** Answers that wait for room, in the order in which they began to wait. */
  readonly #waiting = new Set<CountedAnswer>();
  #bodyBytes = 0;
  #answerBytes = 0;

  constructor(limits: BufferLimits) {
    this.#limits = limits;
  }

  get buffered(): BufferedBytes {
    return { bodies: this.#bodyBytes, answers: this.#answerBytes };
  }

  /**
   * Begins to count the body of a request.
   *
   * @param end ends the request, if its body hardly arrives and others need the room.
   */
  openBody(caller: object, end: () => void = () => {}): CountedBody {
    return { caller, bytes: 0, end };
  }

  /**
   * Counts a body up to a size. Where there is no room, those end that hardly arrive.
   *
   * @returns false if it does not fit, and is not counted.
   */
  reserve(
    body: CountedBody,
    size: number,
    { now, arrived = size }: {
      readonly now: number;
      /** Bytes that have arrived; all by default. */
      readonly arrived?: number;
    },
  ): boolean {
    this.#arriving.record(body, arrived, now);
    const bytes = size - body.bytes;
    if (bytes <= 0) return true;
    while (!this.#bodyFits(body, bytes)) {
      const stalled = this.#arriving.stalled(now);
      if (stalled === undefined) return false;
      this.release(stalled, now);
      stalled.end();
    }
    body.bytes = size;
    this.#bodyBytes += bytes;
    this.#addTo(body.caller, bytes);
    return true;
  }

  /** Whether a body may grow by some bytes. */
  #bodyFits({ caller }: CountedBody, bytes: number): boolean {
    const { totalBytes, callerBytes } = this.#limits;
    return this.#bytesOf(caller) + bytes <= callerBytes &&
      this.#bodyBytes + bytes <= KIND_SHARE * totalBytes &&
      this.#totalBytes + bytes <= totalBytes;
  }

  /** Notes that a body has arrived; it is counted until it is released. */
  bodyArrived(body: CountedBody): void {
    this.#arriving.delete(body);
  }

  release(body: CountedBody, now: number): void {
    this.#arriving.delete(body);
    if (body.bytes === 0) return;
    this.#bodyBytes -= body.bytes;
    this.#addTo(body.caller, -body.bytes);
    body.bytes = 0;
    this.#resumeWaiting(now);
  }

  /** Begins to count an answer. */
  openAnswer(caller: object, listener: AnswerListener): CountedAnswer {
    const answer: CountedAnswer = {
      caller,
      listener,
      bytes: 0,
      readBytes: 0,
      heldSince: undefined,
      lastReadAt: Infinity,
    };
    this.#answers.add(answer);
    return answer;
  }

  /**
   * Counts bytes that are received before the answer is relayed.
   *
   * @returns false if the answer waits for room; `AnswerListener.resume` or
   * `AnswerListener.cut` follows.
   */
  receive(answer: CountedAnswer, bytes: number, now: number): boolean {
    return this.#resize(answer, answer.bytes + bytes, now);
  }

  /**
   * Sets the number of bytes that wait for the caller; a decrease means that the
   * caller has read. The result is that of {@linkcode receive}.
   */
  setUnread(answer: CountedAnswer, bytes: number, now: number): boolean {
    if (bytes === 0) {
      answer.heldSince = undefined;
    } else if (answer.heldSince === undefined) {
      answer.heldSince = now;
      answer.lastReadAt = now;
      answer.readBytes = 0;
    }
    if (bytes < answer.bytes) {
      answer.readBytes += answer.bytes - bytes;
      answer.lastReadAt = now;
    }
    return this.#resize(answer, bytes, now);
  }

  #resize(answer: CountedAnswer, bytes: number, now: number): boolean {
    // A cut answer is over; its last chunks are dropped.
    if (!this.#answers.has(answer)) return true;
    const change = bytes - answer.bytes;
    answer.bytes = bytes;
    this.#answerBytes += change;
    this.#addTo(answer.caller, change);
    if (change < 0) this.#resumeWaiting(now);
    if (this.#waiting.has(answer)) return false;
    if (this.#fits(answer, now, (limit) => limit)) return true;
    this.#waiting.add(answer);
    return false;
  }

  /**
   * Cuts answers until there is room for one that has waited for too long: its own
   * if its caller has used up its part, else those of the slowest callers. Where no
   * caller is waited for, the largest ends: runners may send answers without end.
   */
  makeRoom(answer: CountedAnswer, now: number): void {
    while (this.#waiting.has(answer)) {
      // Room for one read may have gone to others that were resumed first.
      if (this.#fits(answer, now, resumable)) {
        this.#waiting.delete(answer);
        return answer.listener.resume();
      }
      const ownLimit = !this.#callerFits(answer, resumable);
      const chosen = ownLimit
        ? answer
        : this.#slowest(now) ?? this.#largest(answer);
      this.#cut(chosen, ownLimit ? "caller" : "total", now);
    }
  }

  #slowest(now: number): CountedAnswer | undefined {
    let slowest: CountedAnswer | undefined;
    let longest = -1;
    for (const answer of this.#answers) {
      if (answer.heldSince === undefined || answer.bytes === 0) continue;
      const ms = remainingMs(answer, now);
      if (ms <= longest) continue;
      slowest = answer;
      longest = ms;
    }
    return slowest;
  }

  /** Returns the largest answer, which is that of `asking` if none is larger. */
  #largest(asking: CountedAnswer): CountedAnswer {
    let largest = asking;
    for (const answer of this.#answers) {
      if (answer.bytes > largest.bytes) largest = answer;
    }
    return largest;
  }

  #cut(answer: CountedAnswer, limit: AnswerCut["limit"], now: number): void {
    const { bytes, readBytes, heldSince = now } = answer;
    const heldMs = now - heldSince;
    const totalBytes = this.#totalBytes;
    this.close(answer, now);
    answer.listener.cut({ limit, bytes, readBytes, heldMs, totalBytes });
  }

  /** Ends the count of an answer. */
  close(answer: CountedAnswer, now: number): void {
    if (!this.#answers.delete(answer)) return;
    this.#waiting.delete(answer);
    this.#answerBytes -= answer.bytes;
    this.#addTo(answer.caller, -answer.bytes);
    answer.bytes = 0;
    this.#resumeWaiting(now);
  }

  #resumeWaiting(now: number): void {
    // Each runner that is read again adds at least what one read returns.
    let resumed = 0;
    for (const answer of this.#waiting) {
      const fits = this.#fits(
        answer,
        now,
        (limit) => resumable(limit) - resumed * READ_BYTES,
      );
      if (!fits) continue;
      this.#waiting.delete(answer);
      resumed += 1;
      answer.listener.resume();
    }
  }

  /** Whether what is buffered is within the limits of an answer, as adjusted. */
  #fits(
    answer: CountedAnswer,
    now: number,
    adjust: (limit: number) => number,
  ): boolean {
    const stalled = now - answer.lastReadAt > STALL_MS;
    const { totalBytes } = this.#limits;
    const usable = stalled ? STALLED_SHARE * totalBytes : totalBytes;
    const small = answer.heldSince === undefined && answer.bytes <= READ_BYTES;
    // A small answer that is received whole need not wait for larger ones.
    const kindShare = small ? 1 : KIND_SHARE;
    return this.#callerFits(answer, adjust) &&
      this.#answerBytes <= adjust(kindShare * usable) &&
      this.#totalBytes <= adjust(usable);
  }

  #callerFits(
    { caller }: CountedAnswer,
    adjust: (limit: number) => number,
  ): boolean {
    return this.#bytesOf(caller) <= adjust(this.#limits.callerBytes);
  }

  get #totalBytes(): number {
    return this.#bodyBytes + this.#answerBytes;
  }

  #bytesOf(caller: object): number {
    return this.#byCaller.get(caller) ?? 0;
  }

  #addTo(caller: object, bytes: number): void {
    this.#byCaller.set(caller, this.#bytesOf(caller) + bytes);
  }
}
