/** Decides which requests a stopping daemon still accepts, and when it closes its listener. */

/** Start and duration of a graceful stop. */
export interface StopWindow {
  /** When the stop signal arrived, in milliseconds. */
  readonly startedAt: number;
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly stopMs: number;
}

/** Requests of a stopping daemon. */
export interface StopLoad {
  /** Number of requests that have not ended. */
  readonly active: number;
  /** When the last request arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/**
 * Share of the stop time in which every request is accepted: the load balancer notices the stop only
 * with a delay.
 */
const ACCEPT_ALL_SHARE = 0.37;

/**
 * Least share of the stop time for which the listener stays open, even if the daemon is idle: until then
 * the load balancer may still route requests to it.
 */
const MIN_STOP_SHARE = 0.4;

/**
 * Time without new requests after which a daemon without open requests closes its listener, as a share
 * of the stop time.
 */
const QUIET_SHARE = 0.1;

/**
 * Share of the stop time after which the listener closes even if requests still arrive: the load balancer has noticed the
 * stop, unless most daemons of the data centre stop. What is left is for the connections that wait to be accepted, also
 * in a process that seldom runs. A connection that is refused costs its caller nothing but another attempt.
 */
const LISTEN_SHARE = 0.81;

/**
 * Time for which connections wait to be accepted without a break after which the daemon closes its listener as soon as the
 * load balancer has noticed the stop, as a share of the stop time: it accepts them more slowly than they arrive.
 */
const BACKLOG_SHARE = 0.05;

/**
 * Time without arrivals after which a daemon that has closed its listener and has no open requests ends its stop, as a
 * share of the stop time.
 */
const LAST_QUIET_SHARE = 0.025;

/**
 * Share of the stop time after which the daemon stops waiting for open requests. Those that still run
 * when the process ends are aborted.
 */
const CUT_SHARE = 0.86;

/** Share of the stop time after which the daemon no longer waits until its last answers have been sent. */
const LAST_ANSWER_SHARE = 0.89;

/**
 * Share of the stop time after which the process ends, even if the stop is not complete. A process that is paused for half
 * a second then still ends before a stop time of 8 s is over.
 */
const EXIT_SHARE = 0.93;

/**
 * Longest time before a stop signal was read at which it may have arrived, as a share of the stop time. After a longer
 * stall, most of the stop remains for open requests.
 */
const MAX_UNREAD_SHARE = 0.125;

/**
 * Begins a stop. The platform counts its time from when it sent the signal, which may have waited in a stalled process.
 * @param earliestSignal - earliest time at which the signal can have arrived, in milliseconds
 * @param now - current time, in milliseconds
 * @param stopMs - time from the signal until the process is killed, in milliseconds
 * @returns start and duration of the stop
 */
export function stopWindow(earliestSignal: number, now: number, stopMs: number): StopWindow {
  return { startedAt: Math.max(earliestSignal, now - stopMs * MAX_UNREAD_SHARE), stopMs };
}

/**
 * Returns the time at which the daemon stops waiting for open requests, which are aborted when the process
 * ends.
 * @param window - start and duration of the stop
 * @returns time in milliseconds
 */
export function cutTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * CUT_SHARE;
}

/**
 * Returns the time at which the daemon stops waiting until the answers that end open requests have been sent. What
 * remains of the stop is for the return of unspent units.
 * @param window - start and duration of the stop
 * @returns time in milliseconds
 */
export function lastAnswerTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * LAST_ANSWER_SHARE;
}

/**
 * Least time for which a daemon that has ended its open requests refuses what still arrives, as a share of the stop time:
 * after a stall much may have arrived.
 */
const MIN_DRAIN_SHARE = 0.02;

/**
 * Returns the time until which a daemon that has ended its open requests refuses what still arrives.
 * @param window - start and duration of the stop
 * @param now - current time, in milliseconds
 * @returns time in milliseconds
 */
export function drainUntil(window: StopWindow, now: number): number {
  return Math.max(lastAnswerTime(window), now + window.stopMs * MIN_DRAIN_SHARE);
}

/**
 * Returns the time at which the process ends at the latest.
 * @param window - start and duration of the stop
 * @returns time in milliseconds
 */
export function exitTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * EXIT_SHARE;
}

/**
 * Checks whether the first phase of a stop is over, in which the load balancer may not have noticed it.
 * @param window - start and duration of the stop
 * @param now - current time, in milliseconds
 * @returns whether it is; from then on, only requests that are certain to end before the daemon stops waiting for
 * open requests are accepted
 */
export function isPastAcceptAll({ startedAt, stopMs }: StopWindow, now: number): boolean {
  return now - startedAt >= stopMs * ACCEPT_ALL_SHARE;
}

/**
 * Returns the latest time at which a request may begin during a stop.
 * @param window - start and duration of the stop
 * @param endsAt - time at which the request has ended at the latest, in milliseconds
 * @returns time in milliseconds, from which on the stop might end before the request
 */
export function latestBegin(window: StopWindow, endsAt: number): number {
  const { startedAt, stopMs } = window;
  if (endsAt <= cutTime(window)) return Number.POSITIVE_INFINITY;
  return startedAt + stopMs * ACCEPT_ALL_SHARE;
}

/**
 * Decides whether a request is accepted during a stop, and whether it may still begin once it has waited. Requests still
 * arrive after the first phase: callers keep their connections, and if most daemons of a data centre stop, the load
 * balancer keeps routing requests to all of them.
 * @param window - start and duration of the stop
 * @param endsAt - time at which the request has ended at the latest, in milliseconds
 * @param now - current time, in milliseconds
 * @returns whether it is; after the first phase, whether it ends before the daemon stops waiting for open requests,
 * however long it takes
 */
export function acceptsDuringStop(window: StopWindow, endsAt: number, now: number): boolean {
  return now < latestBegin(window, endsAt);
}

/** Requests and connections of a daemon that is about to exit. */
export interface LastArrivals extends StopLoad {
  /** When the last connection was accepted, in milliseconds. */
  readonly acceptedAt: number;
}

/**
 * Decides whether nothing that a caller has sent still waits to be read or answered.
 * @param arrivals - what has arrived so far
 * @param polledAfter - time before which the last poll of the sockets cannot have begun, in milliseconds
 * @returns whether that poll has brought nothing
 */
export function isDrained(
  { active, arrivedAt, acceptedAt }: LastArrivals,
  polledAfter: number,
): boolean {
  return active === 0 && arrivedAt < polledAfter && acceptedAt < polledAfter;
}

/**
 * Decides whether a stopping daemon that has closed its listener may refuse what still arrives.
 * @param window - start and duration of the stop
 * @param arrivals - open requests and the last arrivals
 * @param now - current time, in milliseconds
 * @returns whether it has been idle for long enough, or stops waiting for open requests
 */
export function mayEndRequests(
  window: StopWindow,
  { active, arrivedAt, acceptedAt }: LastArrivals,
  now: number,
): boolean {
  if (now >= cutTime(window)) return true;
  return active === 0 && now - Math.max(arrivedAt, acceptedAt) >= window.stopMs * LAST_QUIET_SHARE;
}

/** Requests and waiting connections of a stopping daemon. */
export interface ListenerLoad extends StopLoad {
  /** When a poll of the sockets last brought no connection, in milliseconds. */
  readonly emptyAt: number;
}

/**
 * Decides whether a stopping daemon may close its listener.
 * @param window - start and duration of the stop
 * @param load - open requests, the last arrival and the waiting connections
 * @param now - current time, in milliseconds
 * @returns whether the load balancer has noticed the stop and the daemon has been idle for long enough, or cannot keep up
 * with the connections, or too little time is left to accept more of them
 */
export function mayCloseListener(
  { startedAt, stopMs }: StopWindow,
  { active, arrivedAt, emptyAt }: ListenerLoad,
  now: number,
): boolean {
  const share = (now - startedAt) / stopMs;
  if (share < MIN_STOP_SHARE || share >= LISTEN_SHARE) return share >= LISTEN_SHARE;
  const isQuiet = now - arrivedAt >= stopMs * QUIET_SHARE;
  return (active === 0 && isQuiet) || now - emptyAt >= stopMs * BACKLOG_SHARE;
}
