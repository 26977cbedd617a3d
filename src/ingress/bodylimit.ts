/**
 * Decides which bodies of callers' requests are read into memory. Small and large bodies have shares of their own, so
 * that neither keeps the other out. Has no clock and no sockets.
 */
import { KIB_BYTES } from '../kernel/index.js';

/** Largest body that counts as small, in bytes. */
export const SMALL_BODY_BYTES = 64 * KIB_BYTES;

/** Share of the memory limit that may be used; the rest covers what one sample of the resident size misses. */
const USABLE_SHARE = 0.9;

/**
 * Share of the free memory that is used where pages of files do not count. Systems differ in whether they count them;
 * where they do, this stays within what USABLE_SHARE leaves.
 */
const WITHOUT_FILES_SHARE = 0.5;

/**
 * Share of the memory limit that small bodies may take in any case: a process grows by connections and its heap too, and
 * to refuse small bodies for that frees next to nothing.
 */
const SMALL_FLOOR_SHARE = 1 / 32;

/**
 * Share of the memory limit that one large body may take when no other is kept: the resident size includes what the
 * allocator keeps after a burst, and a daemon that went by it alone would refuse large bodies from then on.
 */
const LARGE_FLOOR_SHARE = 1 / 16;

/**
 * Share of the free memory for bodies. The rest is for parts that were copied and are not collected yet, and for what waits
 * in the buffers of connections that are not accepted yet.
 */
const BODIES_SHARE = 0.4;

/** Share of that for large bodies; the rest is for small ones. */
const LARGE_SHARE = 0.75;

/** Share of the free memory for what waits unread in the buffers of connections. */
const UNREAD_SHARE = 0.125;

/** Size of the buffers of a connection that is not read, in bytes. */
const CONNECTION_BUFFER_BYTES = 192 * KIB_BYTES;

/** Longest wait for room, in milliseconds: another instance may have room, and callers give up after a second. */
const MAX_WAIT_MS = 400;

/** Kind of a body by its size. */
export type BodySize = 'small' | 'large';

/** Memory of the process. */
export interface MemoryState {
  /** Memory that the process may use, in bytes. */
  readonly limitBytes: number;
  /** Resident size without the bodies of requests, in bytes. */
  readonly otherBytes: number;
  /** Part of it that the system can take back, as it is in files: mostly the program, in bytes. */
  readonly fileBytes: number;
}

/** Bodies that are kept or wait to be read. */
export interface BodyState {
  /** Room that is taken by bodies of each size, in bytes. */
  readonly held: Readonly<Record<BodySize, number>>;
  /** Size of what waits unread in the buffers of connections, in bytes. */
  readonly unreadBytes: number;
}

/** A request for room. */
export interface BodyRequest {
  /** Room that it needs, in bytes. */
  readonly bytes: number;
  /** Time for which it has waited, in milliseconds. */
  readonly waitedMs: number;
  /** Whether no other request for a body of its size waits before it. */
  readonly isFirst: boolean;
}

/** What to do with a request: read its body, ask again later, or refuse it. */
export type BodyStep = 'read' | 'wait' | 'refuse';

/**
 * Returns the size class of a body.
 * @param bytes - its length, in bytes
 * @returns the class
 */
export function bodySize(bytes: number): BodySize {
  return bytes <= SMALL_BODY_BYTES ? 'small' : 'large';
}

/**
 * Returns what a request that waits holds in the buffers of its connection.
 * @param bytes - length of its body, in bytes
 * @returns size in bytes
 */
export function unreadBytes(bytes: number): number {
  return Math.min(bytes, CONNECTION_BUFFER_BYTES);
}

/**
 * Returns the memory that is left for bodies and what they entail. Pages of files alone do not use it up: a process that
 * weighs little more than its program runs in a limit that its resident size exceeds.
 * @param memory - memory of the process
 * @returns size in bytes
 */
export function freeBytes({ limitBytes, otherBytes, fileBytes }: MemoryState): number {
  const withFiles = limitBytes * USABLE_SHARE - otherBytes;
  return Math.max(0, withFiles, (withFiles + fileBytes) * WITHOUT_FILES_SHARE);
}

/**
 * Decides on a request for room.
 * @param request - the request
 * @param bodies - bodies that are kept or wait; without the request itself
 * @param memory - memory of the process
 * @returns what to do
 */
export function bodyStep(request: BodyRequest, bodies: BodyState, memory: MemoryState): BodyStep {
  const { bytes, waitedMs, isFirst } = request;
  const size = bodySize(bytes);
  const free = freeBytes(memory);
  const share = size === 'large' ? LARGE_SHARE : 1 - LARGE_SHARE;
  const heldBytes = bodies.held[size];
  const allHeld = bodies.held.small + bodies.held.large;
  const floor = size === 'small' ? memory.limitBytes * SMALL_FLOOR_SHARE : 0;
  // A body that is larger than the share of its size is read alone.
  const fitsAlone = allHeld + bytes <= free || bytes <= memory.limitBytes * LARGE_FLOOR_SHARE;
  const isAlone = heldBytes === 0 && fitsAlone;
  const hasRoom = heldBytes + bytes <= Math.max(free * BODIES_SHARE * share, floor) || isAlone;
  if (isFirst && hasRoom) return 'read';
  const canNeverFit = bytes > memory.limitBytes * USABLE_SHARE;
  const maxUnread = Math.max(free * UNREAD_SHARE, floor);
  const isUnreadFull = bodies.unreadBytes + unreadBytes(bytes) > maxUnread;
  return canNeverFit || isUnreadFull || waitedMs >= MAX_WAIT_MS ? 'refuse' : 'wait';
}
