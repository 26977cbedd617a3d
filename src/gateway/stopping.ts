/** Decides what a stopping daemon still takes, and when it ends. */

/** A graceful stop. */
export interface StopWindow {
  /** When the signal came, in milliseconds. */
  readonly startedAt: number;
  /** Time from the signal until the process is killed, in milliseconds. */
  readonly stopMs: number;
}

/** What a stopping daemon has to do. */
export interface StopLoad {
  /** Requests that have not ended. */
  readonly active: number;
  /** When the last request arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/** Share of the time to stop in which every request is taken: the balancer lags. */
const ACCEPT_ALL_SHARE = 0.37;

/** Share of the time to stop before which no daemon ends: callers are still sent to it. */
const MIN_STOP_SHARE = 0.4;

/** Share of the time to stop without an arrival after which a daemon without work ends. */
const QUIET_SHARE = 0.1;

/** Share of the time to stop after which what is still open is cut. */
const CUT_SHARE = 0.86;

/** Share of the time to stop after which the process ends. */
const EXIT_SHARE = 0.97;

/**
 * Says when what is still open is cut.
 * @param window - the stop
 * @returns milliseconds
 */
export function cutTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * CUT_SHARE;
}

/**
 * Says when the process ends.
 * @param window - the stop
 * @returns milliseconds
 */
export function exitTime({ startedAt, stopMs }: StopWindow): number {
  return startedAt + stopMs * EXIT_SHARE;
}

/**
 * Says whether the time has passed in which the balancer still counts on this daemon.
 * @param window - the stop
 * @param now - milliseconds
 * @returns whether only what surely ends in time is taken
 */
export function isPastAcceptAll({ startedAt, stopMs }: StopWindow, now: number): boolean {
  return now - startedAt >= stopMs * ACCEPT_ALL_SHARE;
}

/**
 * Decides whether a request is taken during a stop. Where most daemons of a data centre stop, the
 * balancer goes on sending to all of them.
 * @param window - the stop
 * @param expectedMs - longest time that the request is likely to last, in milliseconds
 * @param now - milliseconds
 * @returns whether it ends before what is open is cut
 */
export function acceptsDuringStop(window: StopWindow, expectedMs: number, now: number): boolean {
  return !isPastAcceptAll(window, now) || now + expectedMs <= cutTime(window);
}

/**
 * Decides whether a stopping daemon may close its listener.
 * @param window - the stop
 * @param load - what it has to do
 * @param now - milliseconds
 * @returns whether nothing is left, or the time is over
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
