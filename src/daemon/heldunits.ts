/** Lists and settles held units on behalf of operators. */
import { heldUnits, parseShard, settleHeld, shardKey, shardOf } from '../budget/index.js';
import { Err, failure, Ok } from '../kernel/index.js';
import { updateObject } from '../store/index.js';

import type { HeldUnits, SettleHeldRequest } from '../budget/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';

/** Order of an operator to settle held units. */
export type SettleHeldOrder = Omit<SettleHeldRequest, 'at'>;

/** Result of an order to settle held units. */
export interface SettleHeldResult {
  /** Units returned to the budget by this operation. */
  readonly units: number;
  /** Whether the operation id was used before; a repeat returns no further units. */
  readonly repeated: boolean;
}

/**
 * Lists the units held under stopped or unresponsive holders.
 * @param store - object store
 * @param shards - number of budget shards
 * @returns the held units of every shard
 */
export async function listHeld(
  store: ObjectStore,
  shards: number,
): Promise<Result<readonly HeldUnits[], Failure>> {
  const held: HeldUnits[] = [];
  for (let shard = 0; shard < shards; shard += 1) {
    // Shards are read one by one to stay within the read rate limit of the store.
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(shardKey(shard));
    if (found.err) return Err(failure('store-unavailable', found.val.text));
    held.push(...heldUnits(parseShard(found.val.value)));
  }
  return Ok(held);
}

/**
 * Returns held units to their budget on the order of an operator.
 * @param store - object store
 * @param shards - number of budget shards
 * @param order - holder, budget and operation id
 * @returns the units returned and whether the operation was a repeat, or why the order was refused
 */
export async function settleHeldUnits(
  store: ObjectStore,
  shards: number,
  order: SettleHeldOrder,
): Promise<Result<SettleHeldResult, Failure>> {
  const kind = { key: shardKey(shardOf(order.budget, shards)), parse: parseShard };
  const request = { ...order, at: Date.now() };
  const done = await updateObject(store, kind, (shard) => settleHeld(shard, request));
  if (done.err) return Err(failure('store-unavailable', done.val.text, 'unknown'));
  const { known, active, units, repeated } = done.val;
  if (active) return Err(failure('conflict', `${order.holder} is active, its units are in use`));
  if (!known) return Err(failure('not-found', `held units of ${order.holder} in ${order.budget}`));
  return Ok({ units, repeated });
}
