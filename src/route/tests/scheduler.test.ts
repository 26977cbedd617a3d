/** Tests of the route scheduler: dispatching, queueing, refusal, ejection and retries. */
import test from 'ava';

import { LeastLoadPolicy, RetryBudget, RouteScheduler } from '../index.js';

import type { RouteCommand, RouteEvent, Ticket } from '../index.js';

interface Step {
  readonly at: number;
  readonly event: RouteEvent;
  readonly expected: readonly string[];
}

interface Case {
  readonly title: string;
  readonly steps: readonly Step[];
}

function submit(id: string, fields: Partial<Ticket> = {}): RouteEvent {
  const base = { workspace: 'w', priority: 'normal', digests: [], excluded: [] } as const;
  const isRetry = fields.excluded !== undefined;
  return { type: 'submit', ticket: { ...base, isRetry, deadline: 1_000, id, ...fields } };
}

function workers(...names: readonly string[]): RouteEvent {
  const documents = names.map((name) => ({ name, state: 'serving' as const, concurrency: 1 }));
  return { type: 'workers', documents };
}

function roomy(...names: readonly string[]): RouteEvent {
  const documents = names.map((name) => ({ name, state: 'serving' as const, concurrency: 50 }));
  return { type: 'workers', documents };
}

function end(worker: string, hasFailed = false): RouteEvent {
  return { type: 'end', worker, workspace: 'w', failed: hasFailed };
}

function makeScheduler(draw: number, retries: RetryBudget): RouteScheduler {
  const random = (): number => draw;
  return new RouteScheduler({
    policy: new LeastLoadPolicy(random),
    retries,
    daemons: () => 1,
    random,
  });
}

function text(command: RouteCommand): string {
  if (command.type === 'eject') return `eject ${command.worker}`;
  if (command.type === 'refuse') return `refuse ${command.ticket.id} ${command.code}`;
  return `${command.ticket.id} to ${command.worker}`;
}

const CASES: readonly Case[] = [
  {
    title: 'a request waits in the queue until a worker has room',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      { at: 0, event: submit('1'), expected: ['1 to a'] },
      { at: 1, event: submit('2'), expected: [] },
      { at: 2, event: end('a'), expected: ['2 to a'] },
    ],
  },
  {
    title: 'an urgent request is dispatched before bulk requests that arrived earlier',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      { at: 0, event: submit('1'), expected: ['1 to a'] },
      { at: 1, event: submit('2', { priority: 'bulk' }), expected: [] },
      { at: 2, event: submit('3', { priority: 'bulk' }), expected: [] },
      { at: 3, event: submit('4', { priority: 'urgent' }), expected: [] },
      { at: 4, event: end('a'), expected: ['4 to a'] },
      { at: 5, event: end('a'), expected: ['2 to a'] },
    ],
  },
  {
    title: 'a request past its deadline is refused at the next tick',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      { at: 0, event: submit('1'), expected: ['1 to a'] },
      { at: 1, event: submit('2', { deadline: 10 }), expected: [] },
      { at: 9, event: { type: 'tick' }, expected: [] },
      { at: 10, event: { type: 'tick' }, expected: ['refuse 2 overloaded'] },
    ],
  },
  {
    title: 'a request that cannot be served before its deadline is refused immediately',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      { at: 0, event: submit('1'), expected: ['1 to a'] },
      { at: 0, event: submit('2'), expected: [] },
      { at: 0, event: submit('3'), expected: [] },
      { at: 0, event: submit('4'), expected: [] },
      { at: 100, event: end('a'), expected: ['2 to a'] },
      { at: 400, event: end('a'), expected: ['3 to a'] },
      { at: 400, event: submit('5', { deadline: 800 }), expected: ['refuse 5 overloaded'] },
      { at: 400, event: submit('6', { deadline: 1_400 }), expected: [] },
    ],
  },
  {
    title: 'three consecutive failures eject a worker',
    steps: [
      { at: 0, event: workers('a', 'b'), expected: [] },
      { at: 0, event: submit('1', { excluded: ['b'] }), expected: ['1 to a'] },
      { at: 1, event: end('a', true), expected: [] },
      { at: 1, event: submit('2', { excluded: ['b'] }), expected: ['2 to a'] },
      { at: 2, event: end('a', true), expected: [] },
      { at: 2, event: submit('3', { excluded: ['b'] }), expected: ['3 to a'] },
      { at: 3, event: end('a', true), expected: ['eject a'] },
      { at: 4, event: submit('4'), expected: ['4 to b'] },
      { at: 5, event: submit('5', { deadline: 20 }), expected: [] },
    ],
  },
  {
    title: 'after an ejection a worker receives one request at a time until it answers',
    steps: [
      { at: 0, event: roomy('a', 'b'), expected: [] },
      ...[0, 1, 2].flatMap((at): readonly Step[] => [
        { at, event: submit(`${at}`, { excluded: ['b'] }), expected: [`${at} to a`] },
        { at, event: end('a', true), expected: at === 2 ? ['eject a'] : [] },
      ]),
      {
        at: 2_990,
        event: { type: 'report', worker: 'b', report: { open: 40, ageMs: 0 } },
        expected: [],
      },
      { at: 3_000, event: submit('3', { excluded: ['b'] }), expected: ['3 to a'] },
      { at: 3_000, event: submit('4'), expected: ['4 to b'] },
      { at: 3_100, event: { type: 'begin', worker: 'a', delayMs: 100 }, expected: [] },
      { at: 3_100, event: submit('5'), expected: ['5 to a'] },
    ],
  },
  {
    title: 'a retry is refused if no untried worker is left',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      {
        at: 0,
        event: submit('1', { excluded: ['a'] }),
        expected: ['refuse 1 upstream-unavailable'],
      },
    ],
  },
  {
    title:
      'a load report counts requests of other daemons, corrected for own requests sent after it',
    steps: [
      { at: 0, event: workers('a', 'b'), expected: [] },
      {
        at: 0,
        event: { type: 'report', worker: 'a', report: { open: 1, ageMs: 0 } },
        expected: [],
      },
      { at: 1, event: submit('1'), expected: ['1 to b'] },
      {
        at: 2,
        event: { type: 'report', worker: 'b', report: { open: 0, ageMs: 5 } },
        expected: [],
      },
      { at: 3, event: submit('2'), expected: [] },
      {
        at: 4,
        event: { type: 'report', worker: 'a', report: { open: 0, ageMs: 0 } },
        expected: ['2 to a'],
      },
    ],
  },
  {
    title: 'a worker that stops reporting receives no requests while others report',
    steps: [
      { at: 1, event: workers('a', 'b'), expected: [] },
      {
        at: 1,
        event: { type: 'report', worker: 'a', report: { open: 0, ageMs: 0 } },
        expected: [],
      },
      {
        at: 4_000,
        event: { type: 'report', worker: 'b', report: { open: 0, ageMs: 0 } },
        expected: [],
      },
      { at: 4_000, event: submit('1', { deadline: 5_000 }), expected: ['1 to b'] },
      { at: 4_000, event: submit('2', { deadline: 5_000 }), expected: [] },
    ],
  },
  {
    title: 'a request whose caller disconnects is not dispatched',
    steps: [
      { at: 0, event: workers('a'), expected: [] },
      { at: 0, event: submit('1'), expected: ['1 to a'] },
      { at: 1, event: submit('2'), expected: [] },
      { at: 2, event: { ...submit('2'), type: 'leave' } as RouteEvent, expected: [] },
      { at: 3, event: end('a'), expected: [] },
    ],
  },
];

CASES.forEach(({ title, steps }) => {
  test(`scheduler: ${title}`, (t) => {
    const scheduler = makeScheduler(0.99, new RetryBudget());
    steps.forEach(({ at, event, expected }, index) => {
      const commands = [...scheduler.handle(event, at)].map(text);
      t.deepEqual(commands, expected, `step ${index}`);
    });
  });
});

test('scheduler: retries stay below a tenth of the requests, the reserve included', (t) => {
  const retries = new RetryBudget();
  const scheduler = makeScheduler(0, retries);
  const run = (event: RouteEvent): readonly string[] => [...scheduler.handle(event, 0)].map(text);
  run(workers('a', 'b'));
  for (let index = 0; index < 1_000; index += 1) {
    const first = run(submit(`${index}`))[0] ?? '';
    const worker = first.slice(-1);
    run(end(worker));
    const again = run(submit(`${index}-again`, { excluded: [worker] }))[0] ?? '';
    if (again.includes(' to ')) run(end(again.slice(-1)));
  }
  t.is(retries.requests, 1_000);
  t.true(retries.retries <= 90, String(retries.retries));
});
