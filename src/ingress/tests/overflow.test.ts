import test from 'ava';

import {
  closesConnections,
  IN_ROTATION,
  isBetterElsewhere,
  nextRotation,
  roomElsewhere,
} from '../index.js';

import type { RoomElsewhere, Rotation, WaitReport } from '../index.js';

interface ReportRow {
  readonly title: string;
  /** Waits that other daemons have reported, in milliseconds, and the ages of the reports. */
  readonly reports: readonly (readonly [waitMs: number, ageMs: number])[];
  readonly room: RoomElsewhere;
}

const NOW_MS = 60_000;

const REPORT_ROWS: readonly ReportRow[] = [
  { title: 'nobody has reported', reports: [], room: 'unknown' },
  { title: 'a single idle daemon', reports: [[0, 0]], room: 'unknown' },
  { title: 'a data centre of four daemons', reports: [[0, 0], [0, 0], [0, 0]], room: 'unknown' }, // prettier-ignore
  { title: 'all are idle', reports: [[0, 0], [0, 100], [5, 200], [0, 300]], room: 'some' }, // prettier-ignore
  { title: 'half are idle', reports: [[0, 0], [0, 0], [400, 0], [400, 0]], room: 'none' }, // prettier-ignore
  { title: 'one of four is busy', reports: [[0, 0], [0, 0], [3, 0], [400, 0]], room: 'some' }, // prettier-ignore
  { title: 'old reports of idle daemons', reports: [[0, 4_500], [0, 4_500], [0, 5_000], [0, 0]], room: 'unknown' }, // prettier-ignore
];

REPORT_ROWS.forEach(({ title, reports, room }) => {
  test(`callers are sent to daemons that are as busy: ${title}`, (t) => {
    const made = reports.map(([waitMs, ageMs]): WaitReport => ({ waitMs, at: NOW_MS - ageMs }));
    t.is(roomElsewhere(made, NOW_MS), room);
  });
});

interface WaitRow {
  readonly title: string;
  readonly waitMs: number;
  readonly targetMs: number;
  readonly room: RoomElsewhere;
  readonly isSent: boolean;
}

const WAIT_ROWS: readonly WaitRow[] = [
  { title: 'no wait', waitMs: 0, targetMs: 400, room: 'some', isSent: false },
  { title: 'a short wait', waitMs: 150, targetMs: 400, room: 'some', isSent: false },
  { title: 'a long wait', waitMs: 250, targetMs: 400, room: 'some', isSent: true },
  { title: 'all are busy', waitMs: 2_000, targetMs: 400, room: 'none', isSent: false },
  { title: 'a patient route', waitMs: 250, targetMs: 1_500, room: 'some', isSent: false },
  { title: 'a tiny target', waitMs: 20, targetMs: 20, room: 'some', isSent: false },
];

WAIT_ROWS.forEach(({ title, waitMs, targetMs, room, isSent }) => {
  test(`requests wait beside idle daemons until they are late: ${title}`, (t) => {
    t.is(isBetterElsewhere(waitMs, targetMs, room), isSent);
  });
});

interface Phase {
  /** Duration, in milliseconds. */
  readonly ms: number;
  readonly waitMs: number;
  /** Part of the time in which the event loop runs; default 0.5. */
  readonly utilization?: number;
  readonly room: RoomElsewhere;
}

interface RotationRow {
  readonly title: string;
  readonly phases: readonly Phase[];
  /** Time outside the rotation, in seconds, rounded. */
  readonly restedSeconds: number;
}

const STEP_MS = 100;

const BUSY: Omit<Phase, 'ms'> = { waitMs: 900, room: 'some' };
const IDLE: Omit<Phase, 'ms'> = { waitMs: 0, room: 'some' };

const ROTATION_ROWS: readonly RotationRow[] = [
  { title: 'an idle daemon', phases: [{ ms: 60_000, ...IDLE }], restedSeconds: 0 },
  { title: 'a short burst', phases: [{ ms: 300, ...BUSY }, { ms: 20_000, ...IDLE }], restedSeconds: 0 }, // prettier-ignore
  { title: 'two bursts', phases: [{ ms: 300, ...BUSY }, { ms: 500, ...IDLE }, { ms: 300, ...BUSY }], restedSeconds: 0 }, // prettier-ignore
  { title: 'a busy second', phases: [{ ms: 1_500, ...BUSY }, { ms: 20_000, ...IDLE }], restedSeconds: 4 }, // prettier-ignore
  {
    title: 'callers that come back',
    phases: [{ ms: 1_500, ...BUSY }, { ms: 4_000, ...IDLE }, { ms: 2_000, ...BUSY }, { ms: 20_000, ...IDLE }], // prettier-ignore
    restedSeconds: 12,
  },
  {
    title: 'a wait that goes on',
    phases: [{ ms: 10_000, ...BUSY }, { ms: 20_000, ...IDLE }], // prettier-ignore
    restedSeconds: 10,
  },
  {
    title: 'connections wait to be accepted',
    phases: [{ ms: 1_500, waitMs: 0, utilization: 1, room: 'some' }, { ms: 20_000, ...IDLE }], // prettier-ignore
    restedSeconds: 4,
  },
  { title: 'all are busy', phases: [{ ms: 30_000, waitMs: 900, room: 'none' }], restedSeconds: 0 }, // prettier-ignore
  {
    title: 'the others are not heard while callers wait',
    phases: [{ ms: 2_000, ...BUSY }, { ms: 10_000, waitMs: 900, room: 'unknown' }, { ms: 20_000, ...IDLE }], // prettier-ignore
    restedSeconds: 12,
  },
  {
    title: 'the others fill up',
    phases: [{ ms: 2_000, ...BUSY }, { ms: 30_000, waitMs: 900, room: 'none' }], // prettier-ignore
    restedSeconds: 2,
  },
];

ROTATION_ROWS.forEach(({ title, phases, restedSeconds }) => {
  test(`a busy daemon goes on to get new connections, or an idle one gets none: ${title}`, (t) => {
    let rotation: Rotation = IN_ROTATION;
    let now = 0;
    let restedMs = 0;
    phases.forEach(({ ms, waitMs, utilization = 0.5, room }) => {
      for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        now += STEP_MS;
        rotation = nextRotation(rotation, { waitMs, utilization }, room, now);
        if (rotation.restsUntil !== undefined) restedMs += STEP_MS;
      }
    });
    t.is(Math.round(restedMs / 1_000), restedSeconds);
  });
});

const CLOSES = [
  { title: 'in the rotation', restsUntil: undefined, at: 10_000, closes: false },
  { title: 'before the load balancer knows', restsUntil: 14_000, at: 11_900, closes: false },
  { title: 'once the load balancer knows', restsUntil: 14_000, at: 12_000, closes: true },
] as const;

CLOSES.forEach(({ title, restsUntil, at, closes }) => {
  test(`callers whose connections are closed come back to the same busy daemon: ${title}`, (t) => {
    t.is(closesConnections({ ...IN_ROTATION, restsUntil, restMs: 4_000 }, at), closes);
  });
});
