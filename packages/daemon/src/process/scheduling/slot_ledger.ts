/**
 * Bookkeeping of the slots in use at a broker. All changes are made here, so that
 * the runner pool, the row limits and the broker's state stay consistent.
 *
 * @module
 */
import type { Row, Table } from "@umbermast/table";
import type { BrokerState } from "./broker_state.ts";
import { RowIndex } from "./row_index.ts";
import { RowLimits } from "./row_limits.ts";
import type { RunnerPool } from "./runner_pool.ts";
import type { GrantedSlot } from "./runner_state.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

interface RowKey {
  readonly workspace: string;
  readonly class: string;
}

/** Records slots at runners and against the limits of rows. */
export class SlotLedger {
  readonly #pool: RunnerPool;
  readonly #state: BrokerState;
  readonly #limits = new RowLimits();
  #rows: RowIndex;

  constructor(dependencies: {
    readonly pool: RunnerPool;
    readonly state: BrokerState;
    readonly table: Table;
  }) {
    this.#pool = dependencies.pool;
    this.#state = dependencies.state;
    this.#rows = new RowIndex(dependencies.table);
  }

  /** Applies a new table; its limits include requests already in flight. */
  setTable(table: Table): void {
    this.#rows = new RowIndex(table);
  }

  /** The row of a workspace and class, if there is one. */
  rowOf(key: RowKey): Row | undefined {
    return this.#rows.find(key);
  }

  /** Whether the limits of a row admit another request now. */
  admits(key: RowKey, now: number): boolean {
    return this.#limits.admits(this.rowOf(key), now);
  }

  /** Occupies a slot for an ask. */
  take(
    waiting: WaitingAsk,
    at: { readonly runner: string; readonly now: number },
  ): GrantedSlot {
    const { ask, entry, cost } = waiting;
    const held: GrantedSlot = {
      askId: ask.askId,
      runner: at.runner,
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
      entry,
      cost,
      grantedAt: at.now,
      epoch: ask.epoch,
    };
    this.#state.addHeld(held);
    this.#pool.hold(held);
    this.#limits.start(this.rowOf(ask), { cost, now: at.now });
    return held;
  }

  /** Records a slot that another broker granted; a known one is unchanged. */
  adopt(held: GrantedSlot): void {
    if (this.#state.findHeld(held.askId) !== undefined) return;
    this.#state.addHeld(held);
    this.#pool.hold(held);
    this.#limits.adopt(this.rowOf(held), held.grantedAt);
  }

  /** Settles an ended attempt whose slot at the runner is already free. */
  settle(held: GrantedSlot, excessCost: number): void {
    this.#limits.end(held, excessCost);
    this.#state.removeHeld(held);
  }

  /** Frees a slot without an observation of the runner. */
  abandon(held: GrantedSlot): void {
    this.#pool.abandon(held);
    this.settle(held, 0);
  }

  /** Settles a slot that was lost with its runner. */
  runnerLost(held: GrantedSlot): void {
    this.settle(held, 0);
  }
}
