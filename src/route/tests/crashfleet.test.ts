import test from 'ava';

import { CrashFleet } from '../../../testbed/crashfleet.js';

import type { CrashFleetConfig } from '../../../testbed/crashfleet.js';

/** Time after the fifth crash from which sends of the deadly part are counted, in milliseconds. */
const REACTION_MS = 3_000;

/** Sends of the deadly part that are allowed from then on. */
const MAX_LATE_SENDS = 3;

/** Least share of sound requests that are answered, relative to the time before. */
const MIN_SOUND_SHARE = 0.5;

/** When the deadly part begins to be sent, in milliseconds. */
const DEADLY_FROM_MS = 5_000;

const SMALL = { daemons: 7, upstreams: 18, rate: 60, forMs: 40_000 };
const LARGE = { daemons: 195, upstreams: 400, rate: 600, forMs: 30_000 };
const SEEDS = [1, 2, 3];

function answeredShare(
  sound: readonly { readonly at: number; readonly end: string }[],
  from: number,
  to: number,
): number {
  const sent = sound.filter(({ at }) => at >= from && at < to);
  return sent.filter(({ end }) => end === 'answered').length / sent.length;
}

const DEADLY_ROWS: readonly {
  readonly title: string;
  readonly cfg: Omit<CrashFleetConfig, 'seed'>;
}[] = [
  { title: '7 daemons, 2% deadly', cfg: { ...SMALL, deadlyShare: 0.02 } },
  { title: '7 daemons, 30% deadly', cfg: { ...SMALL, deadlyShare: 0.3 } },
  {
    title: '7 daemons, 5% deadly, behind 16 parts that all prompts have',
    cfg: { ...SMALL, deadlyShare: 0.05, extraParts: 16 },
  },
  {
    title: '7 daemons, 5% deadly, prompts of 600 parts, half of them in no other prompt',
    cfg: { ...SMALL, deadlyShare: 0.05, extraParts: 300 },
  },
  { title: '195 daemons, 0.1% deadly', cfg: { ...LARGE, deadlyShare: 0.001 } },
  { title: '195 daemons, 5% deadly', cfg: { ...LARGE, deadlyShare: 0.05 } },
  {
    title: '7 daemons that start again after the first crashes',
    cfg: { ...SMALL, deadlyShare: 0.05, restarts: [9_000, 14_000] },
  },
  {
    title: '7 daemons while half of the upstreams crash now and then',
    cfg: { ...SMALL, deadlyShare: 0.05, plainCrashes: { at: [4_000, 7_000, 12_000], share: 0.5 } },
  },
];

DEADLY_ROWS.forEach(({ title, cfg }) => {
  test(`${title}: the deadly part is rejected in time and sound requests are served`, (t) => {
    SEEDS.forEach((seed) => {
      const { crashes, deadlySends, sound, writes } = CrashFleet.run({ ...cfg, seed });
      const reference = crashes[4] ?? crashes.at(-1) ?? 0;
      const late = deadlySends.filter((at) => at > reference + REACTION_MS).length;
      if (crashes.length >= 5)
        t.true(
          late <= MAX_LATE_SENDS,
          `seed ${seed}: ${late} late sends, ${crashes.length} crashes`,
        );
      const before = answeredShare(sound, 0, DEADLY_FROM_MS);
      const from = Math.min(reference + 2 * REACTION_MS, cfg.forMs - 2 * REACTION_MS);
      const after = answeredShare(sound, from, cfg.forMs - 1_000);
      t.true(after >= before * MIN_SOUND_SHARE, `seed ${seed}: ${after} of ${before}`);
      t.log(
        `seed ${seed}: ${crashes.length} crashes, ${late} late, sound ${after.toFixed(3)}, ${writes.length} writes`,
      );
    });
  });
});

const COINCIDENCE_ROWS: readonly {
  readonly title: string;
  readonly cfg: Omit<CrashFleetConfig, 'seed' | 'deadlyShare'>;
}[] = [
  {
    title: 'half of the upstreams crash at once',
    cfg: { ...SMALL, plainCrashes: { at: [10_000], share: 0.5 } },
  },
  {
    title: 'half of the upstreams crash every 4 s',
    cfg: { ...SMALL, plainCrashes: { at: [8_000, 12_000, 16_000, 20_000], share: 0.5 } },
  },
  {
    title: 'half of the upstreams of 195 daemons crash every 4 s',
    cfg: { ...LARGE, plainCrashes: { at: [8_000, 12_000, 16_000, 20_000], share: 0.5 } },
  },
];

/** Largest share of sound requests that may be rejected because of coincidences. */
const MAX_REJECTED_SHARE = 0.02;

COINCIDENCE_ROWS.forEach(({ title, cfg }) => {
  test(`${title}: hardly any sound request is rejected, and none in the end`, (t) => {
    SEEDS.forEach((seed) => {
      const { sound, writes } = CrashFleet.run({ ...cfg, deadlyShare: 0, seed });
      const rejected = sound.filter(({ end }) => end === 'rejected');
      const share = rejected.length / sound.length;
      t.true(share <= MAX_REJECTED_SHARE, `seed ${seed}: ${rejected.length} rejected`);
      t.is(rejected.filter(({ at }) => at > cfg.forMs - 3_000).length, 0);
      t.log(
        `seed ${seed}: ${rejected.length} of ${sound.length} rejected, ${writes.length} writes`,
      );
    });
  });
});

test('while the store is away, each daemon rejects a deadly part after its own crashes', (t) => {
  SEEDS.forEach((seed) => {
    const storeAway = { from: 0, to: SMALL.forMs };
    const cfg = { ...SMALL, deadlyShare: 0.05, storeAway, seed };
    const { crashes, deadlySends } = CrashFleet.run(cfg);
    t.true(crashes.length <= 3 * SMALL.daemons, `seed ${seed}: ${crashes.length} crashes`);
    t.true((deadlySends.at(-1) ?? 0) < 30_000, `seed ${seed}: last send ${deadlySends.at(-1)}`);
  });
});
