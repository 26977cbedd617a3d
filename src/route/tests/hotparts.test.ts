import test from 'ava';

import { DEFAULT_SEED, seededRandom } from '../../../testbed/seed.js';
import { hash32 } from '../../kernel/index.js';
import { mix32 } from '../digest.js';
import { HotParts } from '../hotparts.js';

import type { PlacementRequest } from '../placement.js';

/** Few common parts before many different ones, seen by many daemons. */
interface Load {
  readonly title: string;
  readonly daemons: number;
  readonly workers: number;
  /** Requests a second of the whole fleet. */
  readonly perSecond: number;
  readonly common: number;
  readonly subjects: number;
  /** Largest number of upstreams at which one common part is cached; it is not spread without need. */
  readonly mostHomes: number;
}

const LOADS: readonly Load[] = [
  {
    title: '4 common parts at 98 upstreams',
    daemons: 71,
    workers: 98,
    perSecond: 444,
    common: 4,
    subjects: 907,
    mostHomes: 98,
  },
  {
    title: '4 common parts at 6 upstreams, seen by 7 daemons',
    daemons: 7,
    workers: 6,
    perSecond: 43,
    common: 4,
    subjects: 87,
    mostHomes: 6,
  },
  {
    title: '400 common parts at 98 upstreams: each stays at its upstream',
    daemons: 71,
    workers: 98,
    perSecond: 444,
    common: 400,
    subjects: 907,
    mostHomes: 12,
  },
];

const SECONDS = 40;

/** Time after which a daemon has seen enough of the load, in seconds. */
const SEEN_S = 20;

/** Largest load of an upstream, as a multiple of the mean: three times what the same number of subjects gives by chance. */
const MOST_LOAD = 3;

function requestOf(common: number, subject: number): PlacementRequest {
  const sharedParts = [
    { id: `common-${common}`, tokens: 2_520 },
    { id: `subject-${subject}`, tokens: 1_900 },
  ];
  return { sharedParts, sharedTokens: 4_420, promptTokens: 7_310, memoryTokens: 7_400 };
}

LOADS.forEach(({ title, daemons, workers, perSecond, common, subjects, mostHomes }) => {
  test(`prompts with common parts are spread over the upstreams: ${title}`, (t) => {
    const random = seededRandom(DEFAULT_SEED);
    const parts = Array.from({ length: daemons }, () => new HotParts());
    const served = new Map<number, number>();
    const homes = new Map<number, Set<number>>();
    for (let index = 0; index < SECONDS * perSecond; index += 1) {
      const now = (index / perSecond) * 1_000;
      const subject = Math.floor(random() * subjects);
      const daemon = parts[Math.floor(random() * daemons)];
      const part = daemon?.choose(requestOf(subject % common, subject), workers, now) ?? '';
      const scores = Array.from({ length: workers }, (_, worker) =>
        mix32(hash32(part), hash32(`worker-${worker}`)),
      );
      const home = scores.indexOf(Math.max(...scores));
      if (now >= SEEN_S * 1_000) {
        served.set(home, (served.get(home) ?? 0) + 1);
        const of = homes.get(subject % common) ?? new Set();
        homes.set(subject % common, of.add(home));
      }
    }
    const mean = ((SECONDS - SEEN_S) * perSecond) / workers;
    const most = Math.max(...served.values()) / mean;
    t.true(most <= MOST_LOAD, `${most} times the mean load`);
    t.true(Math.max(...[...homes.values()].map(({ size }) => size)) <= mostHomes);
  });
});
