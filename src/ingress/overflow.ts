/**
 * Decides when callers of a busy daemon are sent to others. Answers the load of a large workspace whose callers all reach
 * one small daemon while others in its data centre are idle: waiting there would make every answer late. Has no clock and
 * no sockets.
 */
import { SECOND_MS } from '../kernel/index.js';

/** Share of a route's target time that a request may wait for its turn if another daemon has room. */
const WAIT_SHARE = 0.5;

/** Expected wait for a turn up to which a daemon has room for the callers of others, in milliseconds. */
const ROOM_WAIT_MS = 25;

/** Expected wait for a turn above which a daemon is busy, in milliseconds. */
const BUSY_WAIT_MS = 100;

/**
 * Part of the time in which the event loop runs above which a daemon is busy: connections then wait to be accepted, and
 * their requests are not in the queue yet.
 */
const BUSY_UTILIZATION = 0.95;

/**
 * Time for which a daemon is busy before it leaves the rotation of new connections, in milliseconds. The load balancer
 * takes no notice of a shorter absence than a second.
 */
const BUSY_MS = 400;

/**
 * Least and longest time outside the rotation, in milliseconds. The load balancer needs two checks, one second apart, to
 * notice either change.
 */
const MIN_REST_MS = 4 * SECOND_MS;
const MAX_REST_MS = 16 * SECOND_MS;

/** Time in the rotation after which the next rest is a short one again, in milliseconds. */
const CALM_MS = 10 * SECOND_MS;

/** Share of the daemons that were asked that must have room. */
const ROOM_SHARE = 0.5;

/** Time in which the load balancer notices that a daemon rests, in milliseconds: two checks, one second apart. */
const NOTICE_MS = 2 * SECOND_MS;

/** Time for which a report of another daemon counts, in milliseconds. */
const REPORT_TTL_MS = 4 * SECOND_MS;

/**
 * Fewest reports on which callers are sent to other daemons. In a data centre of few daemons each serves a large part of the
 * callers, and the room of the others is gone as soon as those come.
 */
const MIN_REPORTS = 4;

/** What another daemon has reported. */
export interface WaitReport {
  /** Time for which a new request would wait for its turn there, in milliseconds. */
  readonly waitMs: number;
  /** When it was reported, in milliseconds. */
  readonly at: number;
}

/** Load of one daemon. */
export interface DaemonLoad {
  /** Time for which a new request would wait for its turn, in milliseconds. */
  readonly waitMs: number;
  /** Part of the time in which its event loop runs. */
  readonly utilization: number;
}

/**
 * Decides whether a daemon is busy.
 * @param load - its load
 * @returns whether its callers wait, in its queue or to be accepted
 */
export function isBusy({ waitMs, utilization }: DaemonLoad): boolean {
  return waitMs > BUSY_WAIT_MS || utilization > BUSY_UTILIZATION;
}

/** Whether other daemons have room: most would serve a further request at once, or not, or too few have reported lately. */
export type RoomElsewhere = 'some' | 'none' | 'unknown';

/**
 * Decides whether other daemons have room.
 * @param reports - newest report of each daemon that was asked
 * @param now - current time, in milliseconds
 * @returns what most of those say that have reported lately
 */
export function roomElsewhere(reports: readonly WaitReport[], now: number): RoomElsewhere {
  const recent = reports.filter(({ at }) => now - at <= REPORT_TTL_MS);
  if (recent.length < MIN_REPORTS) return 'unknown';
  const free = recent.filter(({ waitMs }) => waitMs <= ROOM_WAIT_MS);
  return free.length > recent.length * ROOM_SHARE ? 'some' : 'none';
}

/**
 * Decides whether other daemons are asked for reports.
 * @param load - load of this daemon
 * @returns whether this daemon may soon have to send callers to others
 */
export function needsReports(load: DaemonLoad): boolean {
  return load.waitMs > ROOM_WAIT_MS || isBusy(load);
}

/**
 * Decides whether the caller of a request is sent to another daemon instead of waiting here.
 * @param waitMs - time for which the request would wait here, in milliseconds
 * @param targetMs - target time of its route, in milliseconds
 * @param room - whether other daemons have room
 * @returns whether it is refused at once
 */
export function isBetterElsewhere(waitMs: number, targetMs: number, room: RoomElsewhere): boolean {
  return room === 'some' && waitMs > Math.max(ROOM_WAIT_MS, targetMs * WAIT_SHARE);
}

/** Whether a daemon takes new connections. */
export interface Rotation {
  /** When the daemon became busy, in milliseconds; undefined while it is not. */
  readonly busySince: number | undefined;
  /** Time up to which it takes no new connections, in milliseconds; undefined while it takes them. */
  readonly restsUntil: number | undefined;
  /** When it took new connections again, in milliseconds. */
  readonly returnedAt: number;
  /** Length of the last rest, in milliseconds. */
  readonly restMs: number;
}

/** A daemon that takes new connections. */
export const IN_ROTATION: Rotation = {
  busySince: undefined,
  restsUntil: undefined,
  returnedAt: Number.NEGATIVE_INFINITY,
  restMs: 0,
};

/**
 * Computes whether a daemon goes on to take new connections. A daemon that was busy for a while rests, longer if it has
 * just come back, until its own callers no longer wait. It comes back early if the others say that they are busy too.
 * @param rotation - state so far
 * @param load - load of this daemon
 * @param room - whether other daemons have room
 * @param now - current time, in milliseconds
 * @returns the new state
 */
export function nextRotation(
  rotation: Rotation,
  load: DaemonLoad,
  room: RoomElsewhere,
  now: number,
): Rotation {
  const { restsUntil, returnedAt, restMs, busySince } = rotation;
  if (restsUntil !== undefined) {
    const isOver = now >= restsUntil && load.waitMs <= ROOM_WAIT_MS && !isBusy(load);
    if (!isOver && room !== 'none') return rotation;
    return { ...IN_ROTATION, returnedAt: now, restMs };
  }
  if (!isBusy(load) || room !== 'some') return { ...rotation, busySince: undefined };
  if (busySince === undefined) return { ...rotation, busySince: now };
  if (now - busySince < BUSY_MS) return rotation;
  const isCalm = now - returnedAt > CALM_MS;
  const nextRestMs = isCalm ? MIN_REST_MS : Math.min(MAX_REST_MS, restMs * 2);
  return { busySince: undefined, restsUntil: now + nextRestMs, returnedAt, restMs: nextRestMs };
}

/**
 * Decides whether a daemon closes its kept connections with their next answers.
 * @param rotation - whether it takes new connections
 * @param now - current time, in milliseconds
 * @returns whether it rests and the load balancer knows; before that, the callers would come back to it at once
 */
export function closesConnections({ restsUntil, restMs }: Rotation, now: number): boolean {
  return restsUntil !== undefined && now >= restsUntil - restMs + NOTICE_MS;
}
