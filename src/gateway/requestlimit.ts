/** Number of requests that the V8 heap of the process holds; a heap that is full ends the process. */
import { KIB_BYTES, MEGABYTE_BYTES } from '../kernel/index.js';

/** Share of these requests from which further ones are refused, before connections are held back. */
export const REFUSED_SHARE = 0.9;

/** Share of the heap that requests may fill beside the rest. */
const HEAP_SHARE = 0.8;

/** Heap of a daemon without requests, in bytes. */
const IDLE_HEAP_BYTES = 25 * MEGABYTE_BYTES;

/** Heap that a running request takes, with its connections to caller and upstream, in bytes. */
const REQUEST_HEAP_BYTES = 28 * KIB_BYTES;

/** Least number of requests that are taken, in a heap of any size. */
const MIN_REQUESTS = 100;

/**
 * Returns how many requests may wait for their turn or run.
 * @param heapBytes - size limit of the heap, in bytes
 * @returns number of requests
 */
export function requestLimit(heapBytes: number): number {
  const requests = (heapBytes * HEAP_SHARE - IDLE_HEAP_BYTES) / REQUEST_HEAP_BYTES;
  return Math.max(MIN_REQUESTS, Math.floor(requests));
}
