/**
 * Counts what the daemon buffers of the answer to one request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { AnswerCut, CountedAnswer } from "../process/buffer_budget.ts";
import type { BufferBudget } from "../process/buffer_budget.ts";
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { logAnswerCut } from "./decision_log.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Time in ms for which a runner may be left unread while there is no room for its
 * answer. Runners cut off a response that remains unread for some seconds.
 */
const MAX_UNREAD_MS = 1_000;

/** A response of a runner that can be paused. */
export type PausableSource = Pick<
  IncomingMessage,
  "readableEnded" | "pause" | "resume"
>;

/** Counts one answer, and pauses its runner while there is no room for it. */
export class AnswerBuffer {
  readonly #daemon: Daemon;
  readonly #budget: BufferBudget;
  readonly #answer: CountedAnswer;
  #source: PausableSource | undefined;
  #onPause: (maxMs: number) => void = () => {};
  #timer: NodeJS.Timeout | undefined;
  #wasCut = false;
  #pauseCount = 0;

  constructor(
    daemon: Daemon,
    budget: BufferBudget,
    answer: {
      readonly routed: RoutedRequest;
      readonly caller: Caller;
      /** Called when the answer must end. */
      readonly onCut: () => void;
    },
  ) {
    const { routed, caller, onCut } = answer;
    this.#daemon = daemon;
    this.#budget = budget;
    this.#answer = budget.openAnswer(caller.request.socket, {
      resume: () => this.#resume(),
      cut: (cut: AnswerCut) => {
        this.#wasCut = true;
        clearTimeout(this.#timer);
        logAnswerCut(daemon, routed, cut);
        daemon.metrics.answerCut(routed.service.name, cut.limit);
        onCut();
      },
    });
    caller.response.once("close", () => {
      clearTimeout(this.#timer);
      budget.close(this.#answer, daemon.now());
    });
  }

  /** Whether the answer was ended because there was no room. */
  get wasCut(): boolean {
    return this.#wasCut;
  }

  /** Number of times that a runner was paused. */
  get pauseCount(): number {
    return this.#pauseCount;
  }

  /**
   * Sets the runner's response that is paused while there is no room.
   *
   * @param onPause called with the longest duration of the pause in ms.
   */
  readFrom(
    source: PausableSource,
    onPause: (maxMs: number) => void = () => {},
  ): void {
    this.#source = source;
    this.#onPause = onPause;
  }

  /** Counts bytes that are received before the answer is relayed. */
  receive(bytes: number): void {
    const now = this.#daemon.now();
    this.#pauseUnless(this.#budget.receive(this.#answer, bytes, now));
  }

  /** Sets the number of bytes that wait for the caller. */
  setUnread(bytes: number): void {
    const now = this.#daemon.now();
    this.#pauseUnless(this.#budget.setUnread(this.#answer, bytes, now));
  }

  #pauseUnless(hasRoom: boolean): void {
    const source = this.#source;
    if (hasRoom || source === undefined || source.readableEnded) return;
    if (this.#timer !== undefined) return;
    this.#pauseCount += 1;
    source.pause();
    this.#onPause(MAX_UNREAD_MS);
    this.#timer = setTimeout(
      () => this.#budget.makeRoom(this.#answer, this.#daemon.now()),
      MAX_UNREAD_MS,
    );
  }

  #resume(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#source?.resume();
  }
}
