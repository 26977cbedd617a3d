/** Decides which requests a stopping daemon still accepts, and when it closes. */

/** Start and duration of a graceful stop. */
export interface StopWindow {
  /** When the stop signal arrived, in milliseconds. */
  readonly startedAt: number;
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly stopMs: number;
}

/** Open requests of a stopping daemon. */
export interface StopLoad {
  /** Requests that have not ended. */
  readonly active: number;
  /** When the last request arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/**
 * Share of the stop time in which every request is accepted: the balancer notices the stop only
 * with a delay.
 */
const ACCEPT_ALL_SHARE = 0.37;

/**
 * Share of the stop time before which the listener stays open: the balancer still sends callers.
 */
const MIN_STOP_SHARE = 0.4;

/** Share of the stop time without new requests after which an idle daemon closes its listener. */
const QUIET_SHARE = 0.1;

/** Share of the stop time after which open requests are cut. */
const CUT_SHARE = 0.86;

/** Share of the stop time after which the process ends. */
const EXIT_SHARE = 0.97;

/**
 * Returns when open requests are cut.
 * @param window - the stop
 * @returns time in milliseconds
 */
export function cutTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * CUT_SHARE;
}

/**
 * Returns when the process ends.
 * @param window - the stop
 * @returns time in milliseconds
 */
export function exitTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * EXIT_SHARE;
}

/**
 * Checks whether the first phase of a stop is over, in which the balancer may not have noticed it.
 * @param window - the stop
 * @param now - current time, in milliseconds
 * @returns whether only requests that are expected to end in time are accepted
 */
export function isPastAcceptAll({ startedAt, stopMs }: StopWindow, now: number): boolean {
  return now - startedAt >= stopMs * ACCEPT_ALL_SHARE;
}

/**
 * Decides whether a request is accepted during a stop. If most daemons of a data centre stop, the
 * balancer keeps sending requests to all of them.
 * @param window - the stop
 * @param expectedMs - upper estimate of the duration of the request, in milliseconds
 * @param now - current time, in milliseconds
 * @returns whether it is accepted; late in the stop, whether it ends before open requests are cut
 */
export function acceptsDuringStop(window: StopWindow, expectedMs: number, now: number): boolean {
  return !isPastAcceptAll(window, now) || now + expectedMs <= cutTime(window);
}

/**
 * Decides whether a stopping daemon may close its listener.
 * @param window - the stop
 * @param load - open requests and the last arrival
 * @param now - current time, in milliseconds
 * @returns whether it is idle after the least time, or open requests are to be cut
 */
export function mayCloseListener(
  window: StopWindow,
  { active, arrivedAt }: StopLoad,
  now: number,
): boolean {
  const { startedAt, stopMs } = window;
  if (now >= cutTime(window)) return true;
  const isQuiet = now - arrivedAt >= stopMs * QUIET_SHARE;
  return active === 0 && isQuiet && now - startedAt >= stopMs * MIN_STOP_SHARE;
}
