import test from 'ava';

import { EVENTS, mergeEvents, selectEvents } from '../index.js';

import type { EventName, EventSubject, TimelineEvent } from '../index.js';

function event(
  wall: number,
  name: EventName,
  subject: EventSubject,
  source = 'entry-1~a',
): TimelineEvent {
  return { stamp: { wall, count: 0 }, source, number: EVENTS[name].number, name, subject };
}

const DAEMON_EVENTS = [
  event(1, 'grantDrawn', { budget: 'main' }),
  event(2, 'requestReceived', { request: 'r-1', budget: 'main' }),
  event(3, 'requestReceived', { request: 'r-2', budget: 'main' }),
  event(4, 'reservationShort', { request: 'r-1', budget: 'main' }),
  event(5, 'grantRefused', { budget: 'main' }),
  event(5, 'grantRefused', { budget: 'other' }),
  event(6, 'requestRefused', { request: 'r-1' }),
  event(7, 'planMoved', { plan: 'leave' }),
];

const CASES = [
  { name: 'everything', query: {}, walls: [1, 2, 3, 4, 5, 5, 6, 7] },
  {
    name: 'a request, with the events of its budget during the request',
    query: { request: 'r-1' },
    walls: [2, 4, 5, 6],
  },
  { name: 'an unknown request', query: { request: 'r-9' }, walls: [] },
  { name: 'a budget', query: { budget: 'other' }, walls: [5] },
  { name: 'a plan', query: { plan: 'leave' }, walls: [7] },
  { name: 'another instance', query: { instance: 'entry-2' }, walls: [] },
  { name: 'since a time', query: { since: 6 }, walls: [6, 7] },
] as const;

CASES.forEach(({ name, query, walls }) => {
  test(`time line query: ${name}`, (t) => {
    const found = selectEvents(DAEMON_EVENTS, query);
    t.deepEqual(
      found.map(({ stamp }) => stamp.wall),
      walls,
    );
  });
});

test('merged events are ordered by stamp, not by daemon', (t) => {
  const other = event(4, 'linkOpened', {}, 'entry-0~b');
  const merged = mergeEvents([DAEMON_EVENTS.slice(3, 5), [other]]);
  t.deepEqual(
    merged.map(({ source, number }) => [source, number]),
    [
      ['entry-0~b', 5001],
      ['entry-1~a', 1102],
      ['entry-1~a', 3002],
    ],
  );
});
