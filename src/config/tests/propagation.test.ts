import test from 'ava';

import { catchUp } from '../catchup.js';
import { EMPTY_MANIFEST } from '../revision.js';
import { outagePeers, announcementTargets, revisionSources, watchersOf } from '../propagation.js';

import type { Instance } from '../../store/index.js';
import type { CatchUpEvent } from '../catchup.js';

function fleetOf(centres: number, perDataCentre: number): readonly Instance[] {
  return Array.from({ length: centres * perDataCentre }, (_, index) => ({
    name: `entry-${index}`,
    dataCentre: `dc-${index % centres}`,
    peerAddress: '127.0.0.1:1',
    state: 'live',
  }));
}

function locationOf({ name, dataCentre }: Instance): { self: string; dataCentre: string } {
  return { self: name, dataCentre };
}

function peersOf(fleet: readonly Instance[], self: string): readonly Instance[] {
  return fleet.filter(({ name }) => name !== self);
}

const SIZES = [
  { centres: 3, each: 1, watchers: 3 },
  { centres: 3, each: 3, watchers: 6 },
  { centres: 22, each: 59, watchers: 110 },
] as const;

SIZES.forEach(({ centres, each, watchers }) => {
  test(`${centres} data centres of ${each}: few watch, and each other daemon gets one announcement`, (t) => {
    const fleet = fleetOf(centres, each);
    const announced = fleet.flatMap((daemon) =>
      announcementTargets(locationOf(daemon), peersOf(fleet, daemon.name)),
    );
    const watching = fleet.filter((daemon) =>
      watchersOf(locationOf(daemon), peersOf(fleet, daemon.name)).includes(daemon.name),
    );
    t.is(watching.length, watchers);
    t.is(new Set(announced).size, announced.length);
    const reached = [...announced, ...watching.map(({ name }) => name)].sort();
    t.deepEqual(reached, fleet.map(({ name }) => name).sort());
  });
});

test('a daemon polls the watchers of its data centre in turn, then a remote daemon', (t) => {
  const fleet = fleetOf(2, 6);
  const [daemon] = fleet.filter(
    (candidate) =>
      !watchersOf(locationOf(candidate), peersOf(fleet, candidate.name)).includes(candidate.name),
  );
  t.truthy(daemon);
  if (!daemon) return;
  const peers = peersOf(fleet, daemon.name);
  const localWatchers = watchersOf(locationOf(daemon), peers);
  const rounds = [0, 1].map((round) => revisionSources(locationOf(daemon), peers, round));
  t.deepEqual(rounds.map(([first]) => first).sort(), [...localWatchers].sort());
  rounds.forEach((names) => {
    const last = fleet.find(({ name }) => name === names.at(-1));
    t.is(names.length, 3);
    t.not(last?.dataCentre, daemon.dataCentre);
  });
});

test('in a data centre of 59 daemons, polling is spread over all watchers', (t) => {
  const fleet = fleetOf(1, 59);
  const asked = new Map<string, number>();
  fleet.forEach((daemon) => {
    const peers = peersOf(fleet, daemon.name);
    if (watchersOf(locationOf(daemon), peers).includes(daemon.name)) return;
    [0, 1].forEach((round) => {
      const [first = ''] = revisionSources(locationOf(daemon), peers, round);
      asked.set(first, (asked.get(first) ?? 0) + 1);
    });
  });
  t.is(asked.size, 5);
  t.true(
    Math.max(...asked.values()) <= 32,
    `at most ${Math.max(...asked.values())} daemons poll one watcher`,
  );
});

test('in a store outage, peers of each data centre are asked, but no leaving one', (t) => {
  const fleet = fleetOf(3, 5).map((daemon, index) =>
    index === 0 ? { ...daemon, state: 'leaving' as const } : daemon,
  );
  const asked = outagePeers(fleet, 2);
  t.is(asked.length, 6);
  t.false(asked.includes('entry-0'));
});

const MANIFEST = { ...EMPTY_MANIFEST, revision: 7 };

interface CatchUpCase {
  readonly title: string;
  readonly events: readonly CatchUpEvent[];
  readonly commands: readonly string[];
  readonly outcome: string;
}

const OLD_AND_NEW: CatchUpEvent = {
  type: 'revisions',
  peerRevisions: [
    { peer: 'old', revision: 6 },
    { peer: 'new', revision: 7 },
  ],
};

const CATCH_UP_CASES: readonly CatchUpCase[] = [
  {
    title: 'the store answers',
    events: [
      { type: 'stored', manifest: MANIFEST },
      { type: 'applied', isComplete: true },
    ],
    commands: ['read-store', 'apply'],
    outcome: 'store',
  },
  {
    title: 'nothing is published',
    events: [{ type: 'stored', manifest: EMPTY_MANIFEST }],
    commands: ['read-store'],
    outcome: 'nothing',
  },
  {
    title: 'a piece is missing',
    events: [
      { type: 'stored', manifest: MANIFEST },
      { type: 'applied', isComplete: false },
    ],
    commands: ['read-store', 'apply'],
    outcome: 'nothing',
  },
  {
    title: 'an outage: the highest revision of the peers is applied',
    events: [
      { type: 'no-answer' },
      OLD_AND_NEW,
      { type: 'manifest', manifest: MANIFEST },
      { type: 'applied', isComplete: true },
    ],
    commands: ['read-store', 'ask-peers', 'ask-manifest new', 'apply new'],
    outcome: 'peers',
  },
  {
    title: 'an outage: an older revision is not applied when the highest is unavailable',
    events: [{ type: 'no-answer' }, OLD_AND_NEW, { type: 'no-answer' }],
    commands: ['read-store', 'ask-peers', 'ask-manifest new'],
    outcome: 'nothing',
  },
  {
    title: 'an outage: the next peer with the highest revision is asked',
    events: [
      { type: 'no-answer' },
      {
        type: 'revisions',
        peerRevisions: [
          { peer: 'a', revision: 7 },
          { peer: 'b', revision: 7 },
        ],
      },
      { type: 'no-answer' },
      { type: 'manifest', manifest: MANIFEST },
      { type: 'applied', isComplete: true },
    ],
    commands: ['read-store', 'ask-peers', 'ask-manifest a', 'ask-manifest b', 'apply b'],
    outcome: 'peers',
  },
  {
    title: 'an outage: no peer has a revision',
    events: [
      { type: 'no-answer' },
      { type: 'revisions', peerRevisions: [{ peer: 'a', revision: 0 }] },
    ],
    commands: ['read-store', 'ask-peers'],
    outcome: 'nothing',
  },
];

CATCH_UP_CASES.forEach(({ title, events, commands, outcome }) => {
  test(`catching up: ${title}`, (t) => {
    const run = catchUp();
    const performed: string[] = [];
    let step = run.next();
    for (const event of events) {
      if (step.done) break;
      const command = step.value;
      const peer = 'peer' in command ? command.peer : undefined;
      const from = 'from' in command ? command.from : peer;
      performed.push(from ? `${command.type} ${from}` : command.type);
      step = run.next(event);
    }
    t.deepEqual(performed, commands);
    t.is(step.done ? step.value : 'unfinished', outcome);
  });
});
