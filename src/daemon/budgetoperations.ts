/** Budget operations for operators: payments, counters and statements. */
import { parseShard, shardKey, shardOf, topUp } from '../budget/index.js';
import { Err, failure, Ok } from '../kernel/index.js';
import { updateObject } from '../store/index.js';
import { viewBudgets } from './budgetview.js';
import { readStatement } from './statements.js';

import type { BudgetShard, ChargeLine, TopUp } from '../budget/index.js';
import type { Manifest } from '../config/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';
import type { BudgetView } from './budgetview.js';
import type { ConfigTask } from './configtask.js';

/** Payment into a budget, identified by its operation id. */
export interface Payment {
  readonly budget: string;
  readonly operation: string;
  readonly units: number;
}

/** Result of a payment. */
export interface PaymentAnswer {
  /** Total units paid into the budget. */
  readonly paid: number;
  /** Whether the operation id was used before; a repeat adds no units. */
  readonly repeated: boolean;
  /** When the payment was made, in milliseconds since the epoch. */
  readonly at: number;
}

function earlierPayment(shard: BudgetShard, payment: Payment): TopUp | undefined {
  const budget = shard.budgets.find(({ name }) => name === payment.budget);
  return budget?.topUps.find(({ operation }) => operation === payment.operation);
}

/** Carries out the budget operations of operators in the store. */
export class BudgetOperations {
  /**
   * Creates the operations.
   * @param store - object store
   * @param config - gives the current configuration
   */
  constructor(
    private readonly store: ObjectStore,
    private readonly config: ConfigTask,
  ) {}

  /**
   * Adds a payment to a budget.
   * @param payment - the payment
   * @returns total units paid, whether the operation was a repeat, and the time of the payment; a
   *   failure if the operation id was used for another number of units
   */
  async topUp(payment: Payment): Promise<Result<PaymentAnswer, Failure>> {
    const { current } = this.config;
    const budget = current?.documents.budgets.find(({ name }) => name === payment.budget);
    if (!current || !budget) return Err(failure('not-found', `budget ${payment.budget}`));
    const shard = shardOf(payment.budget, current.manifest.budgetShards);
    const kind = { key: shardKey(shard), parse: parseShard };
    const request = { ...payment, workspace: budget.workspace, at: Date.now() };
    const done = await updateObject(this.store, kind, (value) => {
      const change = topUp(value, request);
      const { units, at } = earlierPayment(value, payment) ?? request;
      return { ...change, outcome: { ...change.outcome, units, at } };
    });
    if (done.err) return Err(failure('store-unavailable', done.val.text, 'unknown'));
    const { units, ...answer } = done.val;
    if (units === payment.units) return Ok(answer);
    return Err(failure('operation-reused', `${payment.operation} paid ${units} units`));
  }

  /**
   * Lists the budgets.
   * @returns every budget with its counters
   */
  async budgets(): Promise<Result<readonly BudgetView[], Failure>> {
    const published = this.config.current?.documents.budgets ?? [];
    const shards = await this.#shards();
    return shards.map((values) => viewBudgets(published, values));
  }

  /**
   * Reads the settled charge lines of a workspace, without duplicates of a request.
   * @param workspace - workspace name
   * @returns the lines, sorted by time
   */
  async statement(workspace: string): Promise<Result<readonly ChargeLine[], Failure>> {
    const manifest = this.#manifest();
    const lines: ChargeLine[] = [];
    for (let shard = 0; shard < manifest.budgetShards; shard += 1) {
      // Shards are read one by one to stay within the read rate limit of the store.
      // eslint-disable-next-line no-await-in-loop
      const found = await readStatement(this.store, shard);
      if (found.err) return Err(failure('store-unavailable', found.val.text));
      lines.push(...found.val.filter((line) => line.workspace === workspace));
    }
    return Ok(lines.sort((a, b) => a.at - b.at));
  }

  #manifest(): Pick<Manifest, 'budgetShards'> {
    return this.config.current?.manifest ?? { budgetShards: 0 };
  }

  async #shards(): Promise<Result<readonly BudgetShard[], Failure>> {
    const numbers = Array.from({ length: this.#manifest().budgetShards }, (_, index) => index);
    const found = await Promise.all(numbers.map((shard) => this.store.read(shardKey(shard))));
    const failed = found.find((result) => result.err);
    if (failed?.err) return Err(failure('store-unavailable', failed.val.text));
    return Ok(found.flatMap((result) => (result.ok ? [parseShard(result.val.value)] : [])));
  }
}
