import test from 'ava';

import { LimitFleet } from '../../../testbed/limitfleet.js';

import type { FleetEvent } from '../../../testbed/limitfleet.js';

const WINDOW_MS = 4_000;
const FOR_MS = 60_000;

/** Numbers of daemons, and limits in requests per second. */
const DAEMONS = [2, 8, 50, 195];
const LIMITS = [0.3, 1.3, 3, 12];

/** Share of the limit that is used while callers send more than it allows. */
const LEAST_USED = 0.7;

/** The same for the last of two daemons: it cannot tell whether the other one has ended or is cut off and sends too. */
const LEAST_USED_ALONE = 0.4;

interface Row {
  readonly title: string;
  readonly events: readonly FleetEvent[];
  /** Number of daemons that callers use; default all. */
  readonly usedDaemons?: number;
  /** Spans in which most of the limit is used, in milliseconds. */
  readonly used: readonly (readonly [from: number, to: number])[];
  /** Span in which the steward is gone, if it does not return, in milliseconds. */
  readonly usedWithoutSteward?: readonly [from: number, to: number];
}

const ROWS: readonly Row[] = [
  { title: 'all daemons send', events: [], used: [[6_000, FOR_MS]] },
  { title: 'one daemon sends', events: [], usedDaemons: 1, used: [[6_000, FOR_MS]] },
  {
    title: 'the steward ends',
    events: [{ at: 20_000, rank: 0, does: 'dies' }],
    used: [[6_000, 20_000]],
    usedWithoutSteward: [32_000, FOR_MS],
  },
  {
    title: 'the steward loses its links for 10 s',
    events: [
      { at: 20_000, rank: 0, does: 'loses-links' },
      { at: 30_000, rank: 0, does: 'regains-links' },
    ],
    used: [
      [6_000, 20_000],
      [40_000, FOR_MS],
    ],
  },
  {
    title: 'the steward ends and is back',
    events: [
      { at: 20_000, rank: 0, does: 'dies' },
      { at: 31_000, rank: 0, does: 'restarts' },
    ],
    used: [
      [6_000, 20_000],
      [40_000, FOR_MS],
    ],
  },
  {
    title: 'the steward is frozen for 8 s',
    events: [
      { at: 20_000, rank: 0, does: 'freezes' },
      { at: 28_000, rank: 0, does: 'thaws' },
    ],
    used: [
      [6_000, 20_000],
      [38_000, FOR_MS],
    ],
  },
  {
    title: 'the steward is frozen again and again',
    events: Array.from({ length: 10 }, (_none, at) => [
      { at: 10_000 + 4_000 * at, rank: 0, does: 'freezes' as const },
      { at: 11_500 + 4_000 * at, rank: 0, does: 'thaws' as const },
    ]).flat(),
    used: [],
  },
  {
    title: 'daemons restart one after the other, the steward first',
    events: [0, 1, 2, 3].flatMap((rank) => [
      { at: 15_000 + 5_000 * rank, rank, does: 'dies' as const },
      { at: 17_500 + 5_000 * rank, rank, does: 'restarts' as const },
    ]),
    used: [
      [6_000, 15_000],
      [44_000, FOR_MS],
    ],
  },
  {
    title: 'a new steward joins, which daemons notice one after the other',
    events: [{ at: 20_000, rank: 0, does: 'joins' }],
    used: [
      [6_000, 20_000],
      [32_000, FOR_MS],
    ],
  },
];

ROWS.forEach(({ title, events, usedDaemons, used, usedWithoutSteward }) => {
  DAEMONS.forEach((daemons) => {
    test(`permits of ${daemons} daemons stay within one and a half times the limit, and most of it is used: ${title}`, (t) => {
      LIMITS.forEach((limit) => {
        const { sent } = LimitFleet.run({
          daemons,
          limit,
          demand: 100,
          usedDaemons: usedDaemons ?? daemons,
          forMs: FOR_MS,
          events,
          seed: daemons * 100 + limit * 10,
        });
        const worst = Math.max(
          ...sent.map((at) => sent.filter((one) => one >= at && one < at + WINDOW_MS).length),
        );
        const allowed = 6 * limit + 5;
        t.true(worst <= allowed, `limit ${limit}: ${worst} requests, allowed ${allowed}`);
        const shareOf = ([from, to]: readonly [number, number]): number =>
          sent.filter((at) => at >= from && at < to).length / ((limit * (to - from)) / 1_000);
        used.forEach((span) => {
          const share = shareOf(span);
          t.true(share >= LEAST_USED, `limit ${limit}: ${share} used in ${span.join(' to ')} ms`);
        });
        if (!usedWithoutSteward) return;
        const share = shareOf(usedWithoutSteward);
        const least = daemons === 2 ? LEAST_USED_ALONE : LEAST_USED;
        t.true(share >= least, `limit ${limit}: ${share} used without the steward`);
      });
    });
  });
});

/** Requests for permits per second that the fleet makes beside those that are granted, at most. */
const MAX_DENIALS = 100;

[50, 195, 1_300].forEach((daemons) => {
  test(`the number of requests for permits does not grow with the fleet: ${daemons} daemons`, (t) => {
    const limit = 1.3;
    const options = { daemons, limit, demand: 900, usedDaemons: daemons, events: [], seed: 1 };
    const { asks } = LimitFleet.run({ ...options, forMs: FOR_MS });
    // Each daemon asks once before it is told to wait.
    const perSecond = (asks - daemons) / (FOR_MS / 1_000);
    t.true(perSecond <= MAX_DENIALS + limit, `${perSecond} per second`);
  });
});
