/**
 * Decides when garbage is collected that V8 would let add up: what is left of bodies lies outside its heap, and its heap
 * may grow beyond the memory of a small instance. Has no clock and collects nothing itself.
 */
import type { GarbageKind } from '../kernel/index.js';

/** Parts of bodies that may add up until they are collected, as a share of the free memory and of the limit. */
const PASSED_SHARES = { free: 1 / 8, limit: 1 / 64 };

/** Large bodies that were released and may add up until they are collected, as shares of the same. */
const RELEASED_SHARES = { free: 1 / 4, limit: 1 / 32 };

/** What has become garbage since it was collected, in bytes. */
export interface BodyGarbage {
  /** Parts of bodies that were read; a minor collection frees most of them. */
  readonly passedBytes: number;
  /** Large bodies that were released; only a major collection frees them. */
  readonly releasedBytes: number;
}

/** Memory that the process may use and that is left for bodies, in bytes. */
export interface GarbageBounds {
  readonly limitBytes: number;
  readonly freeBytes: number;
}

/**
 * Decides which garbage is collected.
 * @param garbage - what has become garbage
 * @param bounds - memory of the process
 * @returns kind of the collection; undefined if there is little garbage
 */
export function dueCollection(
  { passedBytes, releasedBytes }: BodyGarbage,
  { limitBytes, freeBytes }: GarbageBounds,
): GarbageKind | undefined {
  const bound = ({ free, limit }: typeof PASSED_SHARES): number =>
    Math.max(freeBytes * free, limitBytes * limit);
  if (releasedBytes > bound(RELEASED_SHARES)) return 'major';
  return passedBytes > bound(PASSED_SHARES) ? 'minor' : undefined;
}

/** Free memory below which the growth of the process is answered by a collection, as a share of the limit. */
const SCARCE_SHARE = 1 / 10;

/** Growth since the last such collection after which there is another one, as a share of the limit. */
const GROWTH_SHARE = 1 / 32;

/**
 * Decides whether all garbage is collected before the process grows further.
 * @param grownBytes - growth of its resident size since it was last collected for that reason, in bytes
 * @param bounds - memory of the process
 * @returns whether it is
 */
export function isGrowthCollected(
  grownBytes: number,
  { limitBytes, freeBytes }: GarbageBounds,
): boolean {
  return freeBytes < limitBytes * SCARCE_SHARE && grownBytes > limitBytes * GROWTH_SHARE;
}
