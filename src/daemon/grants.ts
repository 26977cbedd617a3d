/** Draws grants from the store, one draw at a time for each budget. */
import { grant, parseShard, shardKey, shardOf } from '../budget/index.js';
import { failure } from '../kernel/index.js';
import { updateObject } from '../platform/index.js';

import type { Failure, Incarnation } from '../kernel/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Recorder } from '../telemetry/index.js';
import type { BudgetTask } from './budgettask.js';
import type { Charges } from './charges.js';
import type { ConfigTask } from './configtask.js';

/** Times the needed units that one draw asks for. */
const DRAW_FACTOR = 8;

/** What a grant drawer needs. */
export interface GrantContext {
  readonly self: Incarnation;
  readonly store: ObjectStore;
  readonly budgets: BudgetTask;
  readonly config: ConfigTask;
  readonly recorder: Recorder;
  /** Joins shards on behalf of this holder. */
  readonly charges: Charges;
}

/** Draws units for the escrows. */
export class Grants {
  readonly #running = new Map<string, Promise<Failure | undefined>>();

  /**
   * Creates the drawer.
   * @param ctx - store, escrows and identity
   */
  constructor(private readonly ctx: GrantContext) {}

  /**
   * Draws units for a budget; calls that come while a draw runs share it.
   * @param budget - budget name
   * @param needed - least units that are of use
   * @returns why nothing was drawn; undefined after a draw
   */
  draw(budget: string, needed: number): Promise<Failure | undefined> {
    const running = this.#running.get(budget);
    if (running) return running;
    const draw = this.#draw(budget, needed).finally(() => this.#running.delete(budget));
    this.#running.set(budget, draw);
    return draw;
  }

  async #draw(budget: string, needed: number): Promise<Failure | undefined> {
    const { self, store, budgets, config, recorder, charges } = this.ctx;
    if (!(await charges.join(budget))) return failure('budget-unreachable', budget);
    const shards = config.current?.manifest.budgetShards ?? 1;
    const { escrow } = await budgets.ask({ type: 'read', budget });
    const ask = {
      holder: self,
      backup: null,
      entered: true,
      budget,
      granted: escrow.granted,
      needed,
      wanted: needed * DRAW_FACTOR,
    };
    const kind = { key: shardKey(shardOf(budget, shards)), parse: parseShard };
    const answer = await updateObject(store, kind, (shard) => grant(shard, ask));
    if (answer.err) {
      recorder.record('storeUnavailable', { budget, detail: answer.val.text });
      return failure('budget-unreachable', budget);
    }
    if (answer.val.fenced) return failure('not-ready', 'this incarnation was recovered by another');
    await budgets.ask({ type: 'receive', budget, granted: answer.val.granted });
    if (answer.val.granted > escrow.granted) {
      recorder.record('grantDrawn', { budget, detail: String(answer.val.granted) });
      return undefined;
    }
    recorder.record('grantRefused', { budget, detail: `${answer.val.left} left` });
    return failure('budget-exhausted', budget);
  }
}
