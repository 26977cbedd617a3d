/** Held units, as operators read and settle them. */
import { heldUnits, parseShard, settleHeld, shardKey, shardOf } from '../budget/index.js';
import { Err, failure, Ok } from '../kernel/index.js';
import { updateObject } from '../store/index.js';

import type { HeldUnits, SettleHeldRequest } from '../budget/index.js';
import type { Failure, Result } from '../kernel/index.js';
import type { ObjectStore } from '../store/index.js';

/** An operator's order, as the command-line tool sends it. */
export type SettleHeldOrder = Omit<SettleHeldRequest, 'at'>;

/** What came of an operator's order. */
export interface SettleHeldResult {
  /** Units that went back to the budget. */
  readonly units: number;
  /** The operation id was known: nothing was given back this time. */
  readonly repeated: boolean;
}

/**
 * Lists the units that are held under stopped holders.
 * @param store - the object API
 * @param shards - number of shards in force
 * @returns the held units of every shard
 */
export async function listHeld(
  store: ObjectStore,
  shards: number,
): Promise<Result<readonly HeldUnits[], Failure>> {
  const held: HeldUnits[] = [];
  for (let shard = 0; shard < shards; shard += 1) {
    // Shards are read one by one to stay inside the read rate of the store.
    // eslint-disable-next-line no-await-in-loop
    const found = await store.read(shardKey(shard));
    if (found.err) return Err(failure('store-unavailable', found.val.text));
    held.push(...heldUnits(parseShard(found.val.value)));
  }
  return Ok(held);
}

/**
 * Gives held units back to their budget on an operator's order.
 * @param store - the object API
 * @param shards - number of shards in force
 * @param order - holder, budget and operation id
 * @returns the units that were given back, or why none were
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
