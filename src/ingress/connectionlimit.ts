/**
 * Bounds the connections of callers by the memory that they take, and decides which one is closed for a new one. Has no
 * clock and no sockets.
 */
import { KIB_BYTES, MEGABYTE_BYTES } from '../kernel/index.js';

/** Share of the memory limit for connections. */
const CONNECTIONS_SHARE = 1 / 6;

/** Memory of a connection that waits for its next request, in bytes. */
const CONNECTION_BYTES = 24 * KIB_BYTES;

/** Memory of a process that has no callers, in bytes. */
const PROCESS_BYTES = 64 * MEGABYTE_BYTES;

/** Share of what the limit leaves beside that for connections with open requests. */
const BUSY_SHARE = 3 / 4;

/** Memory of a connection with an open request, without its body, in bytes. */
const BUSY_CONNECTION_BYTES = 56 * KIB_BYTES;

/** Least number of connections, in an instance of any size. */
const MIN_CONNECTIONS = 200;

/** Time after which a connection without a request counts as unused, in milliseconds: its head is read by then. */
const UNUSED_MS = 1_000;

/** Time for which a caller that has its answer may be sending the next request, in milliseconds. */
const NEXT_REQUEST_MS = 200;

/** Time after which the body of a request has had its time to arrive, in milliseconds. */
const READING_MS = 1_000;

/**
 * What a connection is used for: the rest of a body is discarded on it, no request has arrived yet, all requests were
 * answered, the body of the only open one is being read, or a request is open.
 */
export type ConnectionUse = 'discarding' | 'unused' | 'idle' | 'reading' | 'busy';

/** Uses in the order in which their connections are closed, and the time after which they are, in milliseconds. */
const CLOSED_AFTER_MS: Readonly<Record<Exclude<ConnectionUse, 'busy'>, number>> = {
  discarding: 0,
  unused: UNUSED_MS,
  idle: NEXT_REQUEST_MS,
  reading: READING_MS,
};

const CLOSING_ORDER = Object.keys(CLOSED_AFTER_MS) as readonly (keyof typeof CLOSED_AFTER_MS)[];

/** Use of one connection. */
export interface UsedConnection {
  readonly use: ConnectionUse;
  /** Time since which it is used for that, in milliseconds. */
  readonly useSince: number;
}

/**
 * Returns how many connections of callers an instance holds.
 * @param limitBytes - memory that the process may use, in bytes
 * @param maxRequests - number of requests that are taken: more connections with one request each would keep new ones
 * from being read
 * @returns number of connections
 */
export function connectionLimit(limitBytes: number, maxRequests: number): number {
  const idle = (limitBytes * CONNECTIONS_SHARE) / CONNECTION_BYTES;
  const busy = ((limitBytes - PROCESS_BYTES) * BUSY_SHARE) / BUSY_CONNECTION_BYTES;
  return Math.floor(Math.min(maxRequests, Math.max(MIN_CONNECTIONS, Math.min(idle, busy))));
}

/**
 * Chooses the connection that is closed for a new one: one whose caller has its refusal and still sends, one that was
 * never used, an idle one, or one whose body arrives slowly, in this order; of these the one for which that has been so
 * for longest.
 * @param connections - open connections
 * @param now - current time, in milliseconds
 * @returns the connection; undefined if all are in use
 */
export function leastUseful<Connection extends UsedConnection>(
  connections: Iterable<Connection>,
  now: number,
): Connection | undefined {
  const oldest: Partial<Record<ConnectionUse, Connection>> = {};
  for (const connection of connections) {
    const { use, useSince } = connection;
    const isDue = use !== 'busy' && now - useSince >= CLOSED_AFTER_MS[use];
    const { useSince: oldestSince = Number.POSITIVE_INFINITY } = oldest[use] ?? {};
    if (isDue && useSince < oldestSince) oldest[use] = connection;
  }
  return CLOSING_ORDER.map((use) => oldest[use]).find((found) => found !== undefined);
}
