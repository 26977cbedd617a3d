/** Number of the objects in the store that hold the prepaid units; the first daemon of a fleet stores it. */
import { SharedValue } from './sharedvalue.js';

import type { SnapshotStore } from '../store/index.js';
import type { Recorder } from '../telemetry/index.js';

/** Key of the object that stores the number of allowance shards. */
const OBJECT_KEY = 'fleet/allowance-shards';

/** Largest number of shards that a stored value can mean: each is looked at once a second. */
const MAX_SHARDS = 100_000;

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAX_SHARDS;
}

/**
 * Reads the number of shard objects that the fleet started with; if none is stored, stores the number in the settings of
 * this daemon. With another number this daemon would look for the rows of a workspace in another shard, and the units
 * spent there would count as unspent.
 * @param store - the store
 * @param wanted - number in the settings
 * @param recorder - log and timeline
 * @returns the number, as soon as the store has returned or accepted one
 */
export async function joinShardCount(
  store: SnapshotStore,
  wanted: number,
  recorder: Recorder,
): Promise<SharedValue<number>> {
  const kind = { key: OBJECT_KEY, isValid: isCount, propose: () => wanted };
  const shared = await SharedValue.join(store, kind, recorder);
  const { current: shards } = shared;
  if (shards !== wanted) recorder.record('shardsKept', { facts: { shards, wanted } });
  return shared;
}
