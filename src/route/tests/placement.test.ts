import test from 'ava';

import { hash32 } from '../../kernel/index.js';
import { DEFAULT_SEED, seededRandom } from '../../../testbed/seed.js';
import { HotParts } from '../hotparts.js';
import { placeRequest } from '../placement.js';

import type { PlacementCandidate, PlacementOptions, PlacementRequest } from '../placement.js';

const OPTIONS: PlacementOptions = {
  tokensPerMs: 60,
  rereadWeight: 2,
  loadMsPerRequest: 0.3,
  slotWaitMs: 1_500,
  remotePenaltyMs: 4,
  failurePenaltyMs: 400,
  usualSilenceMs: 600,
};

const IDLE: Omit<PlacementCandidate, 'id' | 'seed'> = {
  isNear: true,
  capacity: 64,
  load: 0,
  waiting: 0,
  pendingTokens: 0,
  freeTokens: 400_000,
  silentMs: 0,
  failedShare: 0,
  isEjected: false,
  warmupMs: 0,
};

const PLAIN: PlacementRequest = {
  sharedParts: [],
  sharedTokens: 0,
  promptTokens: 0,
  memoryTokens: 0,
};

const PROMPT: PlacementRequest = { ...PLAIN, promptTokens: 1_800, memoryTokens: 2_000 };

interface Row {
  readonly title: string;
  readonly request: PlacementRequest;
  readonly a: Partial<PlacementCandidate>;
  readonly b: Partial<PlacementCandidate>;
}

/** Each case has two upstreams, of which "b" must be chosen. */
const ROWS: readonly Row[] = [
  {
    title: 'an upstream in the same data centre is preferred',
    request: PLAIN,
    a: { isNear: false },
    b: {},
  },
  {
    title: 'an upstream with a free slot is preferred to a full one',
    request: PLAIN,
    a: { load: 64 },
    b: { load: 3 },
  },
  {
    title: 'an idle upstream in another data centre is preferred to a full one in the same',
    request: PLAIN,
    a: { load: 6, capacity: 6 },
    b: { isNear: false, capacity: 6 },
  },
  {
    title:
      'a long prompt goes to the upstream with fewer pending prompt tokens, despite more streams',
    request: PROMPT,
    a: { pendingTokens: 54_000 },
    b: { load: 20, pendingTokens: 2_000 },
  },
  {
    title: 'an upstream that fails part of its requests is avoided',
    request: PLAIN,
    a: { failedShare: 0.45 },
    b: { isNear: false, failedShare: 0.14 },
  },
  {
    title: 'an upstream that has not answered for a long time is avoided',
    request: PROMPT,
    a: { silentMs: 2_000 },
    b: { pendingTokens: 12_000 },
  },
  {
    title: 'an ejected upstream is the last choice',
    request: PLAIN,
    a: { isEjected: true },
    b: { load: 64 },
  },
  {
    title: 'an upstream without enough free memory is avoided',
    request: PROMPT,
    a: { freeTokens: 1_000 },
    b: { pendingTokens: 20_000 },
  },
];

ROWS.forEach(({ title, request, a, b }) => {
  [0, 0.5, 0.99].forEach((draw) => {
    test(`${title} (draw ${draw})`, (t) => {
      const candidates = [
        { ...IDLE, id: 'a', seed: hash32('a'), ...a },
        { ...IDLE, id: 'b', seed: hash32('b'), ...b },
      ];
      t.is(placeRequest(candidates, request, OPTIONS, draw)?.id, 'b');
    });
  });
});

test('there is no placement without candidates', (t) => {
  t.is(placeRequest([], PLAIN, OPTIONS, 0), undefined);
});

const WORKERS = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];

/** Chooses the affinity part as a daemon does that has seen nothing else. */
function withAffinity(request: PlacementRequest): PlacementRequest {
  return { ...request, affinityPart: new HotParts().choose(request, WORKERS.length, 0) };
}

function shared(subject: string): PlacementRequest {
  const sharedParts = [
    { id: 'all', tokens: 512 },
    { id: subject, tokens: 4_870 },
  ];
  return withAffinity({
    sharedParts,
    sharedTokens: 5_382,
    promptTokens: 12_000,
    memoryTokens: 12_384,
  });
}

function idleWorkers(): PlacementCandidate[] {
  return WORKERS.map((id) => ({ ...IDLE, id, seed: hash32(id) }));
}

test('requests with the same shared prompt go to the same upstream, for any draw and order of upstreams', (t) => {
  const homes = [0, 0.3, 0.6, 0.9].flatMap((draw) => [
    placeRequest(idleWorkers(), shared('s'), OPTIONS, draw)?.id,
    placeRequest(idleWorkers().reverse(), shared('s'), OPTIONS, draw)?.id,
  ]);
  t.is(new Set(homes).size, 1);
});

test('requests that share the part covering half of the shared tokens go to the same upstream', (t) => {
  const homes = ['x', 'y', 'z', 'w'].map((deeper) => {
    const sharedParts = [
      { id: 'first', tokens: 341 },
      { id: deeper, tokens: 227 },
    ];
    const request = { sharedParts, sharedTokens: 568, promptTokens: 2_368, memoryTokens: 2_400 };
    return placeRequest(idleWorkers(), withAffinity(request), OPTIONS, 0)?.id;
  });
  t.is(new Set(homes).size, 1);
});

const READINGS = [
  { title: 'one shared prompt', behind: 1, stays: true },
  { title: 'two shared prompts', behind: 2, stays: true },
  { title: 'three shared prompts', behind: 3, stays: false },
] as const;

READINGS.forEach(({ title, behind, stays }) => {
  test(`a request ${stays ? 'stays at' : 'leaves'} its preferred upstream with a backlog of ${title}`, (t) => {
    const request = shared('s');
    const home = placeRequest(idleWorkers(), request, OPTIONS, 0)?.id;
    const loaded = idleWorkers().map((worker) => ({
      ...worker,
      pendingTokens: worker.id === home ? request.sharedTokens * behind : 0,
    }));
    t.is(placeRequest(loaded, request, OPTIONS, 0)?.id === home, stays);
  });
});

/**
 * Places 1,000 requests with 87 equally frequent shared prompts and one "hot" prompt, which has the
 * given share of the requests. Returns the number of requests placed at each upstream.
 */
function replay(hotShare: number): ReadonlyMap<string, number> {
  const random = seededRandom(DEFAULT_SEED);
  const pending = new Map(WORKERS.map((id) => [id, 0]));
  const served = new Map(WORKERS.map((id) => [id, 0]));
  for (let request = 0; request < 1_000; request += 1) {
    const subject = random() < hotShare ? 'hot' : `s${Math.floor(random() * 87)}`;
    const candidates = WORKERS.map((id) => ({
      ...IDLE,
      id,
      seed: hash32(id),
      pendingTokens: pending.get(id) ?? 0,
    }));
    const placed = placeRequest(candidates, shared(subject), OPTIONS, random());
    if (placed) {
      pending.set(placed.id, (pending.get(placed.id) ?? 0) + placed.uncachedTokens);
      served.set(placed.id, (served.get(placed.id) ?? 0) + 1);
    }
    // Between two requests each upstream processes prompts for 20 ms: 7,320 tokens in total, slightly
    // more than arrive.
    pending.forEach((tokens, id) => pending.set(id, Math.max(0, tokens - 20 * 61)));
  }
  return served;
}

[0, 0.28, 0.5].forEach((hotShare) => {
  test(`one shared prompt with ${hotShare * 100}% of the requests does not overload its preferred upstream`, (t) => {
    const counts = [...replay(hotShare).values()];
    const mean = 1_000 / WORKERS.length;
    t.true(Math.max(...counts) < mean * 2, counts.join(' '));
    t.true(Math.min(...counts) > mean / 3, counts.join(' '));
  });
});
