/** Number of requests that the V8 heap of the process holds; a heap that is full ends the process. */
import { getHeapStatistics } from 'node:v8';

import { KIB_BYTES, MEGABYTE_BYTES } from '../kernel/index.js';

/** Share of these requests from which further ones are refused, before connections are held back. */
export const REFUSED_SHARE = 0.9;

/** Share of the heap that is filled; the rest lets the collector work. */
const HEAP_SHARE = 0.75;

/** Heap that a daemon fills beside requests once it has worked for a while, in bytes. */
const GROWTH_BYTES = 12 * MEGABYTE_BYTES;

/** Heap that a running request takes, with its connections to caller and upstream, in bytes. */
const REQUEST_HEAP_BYTES = 32 * KIB_BYTES;

/** Least number of requests that are taken, in a heap of any size. */
const MIN_REQUESTS = 100;

/**
 * Returns how many requests may wait for their turn or run.
 * @param heapBytes - size limit of the heap, in bytes
 * @param startBytes - size of the heap after the start, in bytes
 * @returns number of requests
 */
export function requestLimit(heapBytes: number, startBytes: number): number {
  const freeBytes = heapBytes * HEAP_SHARE - startBytes - GROWTH_BYTES;
  const requests = freeBytes / REQUEST_HEAP_BYTES;
  return Math.max(MIN_REQUESTS, Math.floor(requests));
}

/**
 * Returns how many requests may wait for their turn or run in this process, which has just started.
 * @returns number of requests
 */
export function heldRequests(): number {
  const { heap_size_limit: heapBytes, used_heap_size: startBytes } = getHeapStatistics();
  return requestLimit(heapBytes, startBytes);
}
