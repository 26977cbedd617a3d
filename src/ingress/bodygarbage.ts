/**
 * Decides when what is left of bodies is collected: it lies outside the heap of V8, which lets tens of megabytes of it
 * add up. Has no clock and collects nothing itself.
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
