import test from 'ava';

import { LimitFleet } from '../../../testbed/limitfleet.js';

import type { FleetEvent } from '../../../testbed/limitfleet.js';

const WINDOW_MS = 1_000;

/** Numbers of daemons, and requests per second that the upstream tolerates while it is cold. */
const DAEMONS = [2, 8, 74, 195];
const RATES = [1, 4, 11, 30];

/** When the upstream becomes cold, and for how long it is, in milliseconds. */
const COLD_AT = 20_000;
const COLD_FOR_MS = 10_000;

/** Requests in one second by which, and factor by which, the rate may be exceeded. */
const TOLERANCE = 5;
const OVERAGE = 1.5;

interface Row {
  readonly title: string;
  readonly events: readonly FleetEvent[];
  /** Number of daemons that callers use; default all. */
  readonly usedDaemons?: number;
  /** Least share of the rate that is used in the first three seconds; default none. */
  readonly used?: number;
}

const ROWS: readonly Row[] = [
  { title: 'all daemons send', events: [], used: 0.7 },
  { title: 'one daemon sends', events: [], usedDaemons: 1, used: 0.7 },
  {
    title: 'the steward has just restarted',
    events: [
      { at: 17_000, rank: 0, does: 'dies' },
      { at: 19_900, rank: 0, does: 'restarts' },
    ],
    used: 0.25,
  },
  { title: 'the steward ends as it becomes cold', events: [{ at: 20_000, rank: 0, does: 'dies' }] },
  {
    title: 'the steward and the next one end',
    events: [0, 1].map((rank) => ({ at: 20_500, rank, does: 'dies' as const })),
  },
  {
    title: 'the steward loses its links before, and sends on',
    events: [
      { at: 12_000, rank: 0, does: 'loses-links' },
      { at: 24_000, rank: 0, does: 'regains-links' },
    ],
  },
  {
    title: 'the steward loses its links meanwhile, and sends on',
    events: [
      { at: 21_000, rank: 0, does: 'loses-links' },
      { at: 28_000, rank: 0, does: 'regains-links' },
    ],
  },
  {
    title: 'a third of the daemons lose their links and send on',
    events: Array.from({ length: 65 }, (_none, at) => ({
      at: 20_000 + at,
      rank: 3 * at,
      does: 'loses-links' as const,
    })),
  },
  {
    title: 'all daemons lose their links and send on',
    events: Array.from({ length: 195 }, (_none, rank) => ({
      at: 20_000 + 10 * rank,
      rank,
      does: 'loses-links' as const,
    })),
  },
  {
    title: 'the steward is frozen again and again',
    events: Array.from({ length: 5 }, (_none, at) => [
      { at: 19_000 + 2_000 * at, rank: 0, does: 'freezes' as const },
      { at: 20_500 + 2_000 * at, rank: 0, does: 'thaws' as const },
    ]).flat(),
  },
  {
    title: 'daemons restart one after the other, the steward first',
    events: [0, 1, 2, 3].flatMap((rank) => [
      { at: 19_000 + 2_000 * rank, rank, does: 'dies' as const },
      { at: 20_000 + 2_000 * rank, rank, does: 'restarts' as const },
    ]),
  },
  {
    title: 'a new steward joins, which daemons notice one after the other',
    events: [{ at: 20_000, rank: 0, does: 'joins' }],
  },
];

ROWS.forEach(({ title, events, usedDaemons, used }) => {
  DAEMONS.forEach((daemons) => {
    test(`a cold upstream gets no more than its rate from ${daemons} daemons in any second: ${title}`, (t) => {
      RATES.forEach((limit) => {
        [1, 2, 3].forEach((seed) => {
          const { sent } = LimitFleet.run({
            daemons,
            limit,
            demand: 300,
            usedDaemons: usedDaemons ?? daemons,
            fromMs: COLD_AT,
            forMs: COLD_AT + COLD_FOR_MS,
            events,
            seed: daemons * 1_000 + limit * 10 + seed,
            isCold: true,
          });
          const worst = Math.max(
            0,
            ...sent.map((at) => sent.filter((one) => one >= at && one < at + WINDOW_MS).length),
          );
          const allowed = limit * OVERAGE + TOLERANCE;
          t.true(worst <= allowed, `rate ${limit}: ${worst} requests, allowed ${allowed}`);
          if (used === undefined) return;
          const early = sent.filter((at) => at < COLD_AT + 3_000).length / (3 * limit);
          t.true(early >= used, `rate ${limit}: ${early} used in the first three seconds`);
        });
      });
    });
  });
});
