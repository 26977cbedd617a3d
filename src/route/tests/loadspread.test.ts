/**
 * Tests that daemons with the same information do not overload the same worker, and that workspaces
 * above their fair share are found.
 */
import test from 'ava';

import {
  AffinityPolicy,
  LeastLoadPolicy,
  RetryBudget,
  RouteScheduler,
  Worker,
  workspacesOverShare,
} from '../index.js';

import type { RouteCommand, Ticket, WorkspaceDemand } from '../index.js';

function demand(workspace: string, open: number, waiting: number): WorkspaceDemand {
  return { workspace, open, waiting };
}

const EXCESS_CASES = [
  { title: 'a single workspace is never over its share', demands: [demand('a', 9, 9)], excess: [] },
  {
    title: 'no workspace has waiting requests',
    demands: [demand('a', 9, 0), demand('b', 1, 0)],
    excess: [],
  },
  {
    title: 'the workspace with the higher demand is over its share',
    demands: [demand('a', 9, 5), demand('b', 1, 1)],
    excess: ['a'],
  },
  {
    title: 'a large workspace below its share beside a larger one',
    demands: [demand('a', 20, 30), demand('b', 8, 1), demand('c', 2, 0)],
    excess: ['a'],
  },
  {
    title: 'two workspaces that use their whole shares',
    demands: [demand('a', 10, 4), demand('b', 10, 4), demand('c', 1, 0)],
    excess: ['a', 'b'],
  },
] as const;

EXCESS_CASES.forEach(({ title, demands, excess }) => {
  test(`fair share: ${title}`, (t) => {
    t.deepEqual([...workspacesOverShare(demands)].sort(), [...excess]);
  });
});

const SPREAD_CASES = [
  { title: 'a single daemon sends a prefix to one worker', daemons: 1, requests: 20, most: 1 },
  {
    title: 'a rare prefix goes to one worker in a large fleet',
    daemons: 800,
    requests: 1,
    most: 1,
  },
  { title: 'a frequent prefix goes to several workers', daemons: 50, requests: 20, most: 20 },
] as const;

SPREAD_CASES.forEach(({ title, daemons, requests, most }) => {
  test(`affinity: ${title}`, (t) => {
    let draw = 0;
    const random = (): number => {
      draw = (draw + 0.37) % 1;
      return draw;
    };
    const policy = new AffinityPolicy({ random });
    const candidates = Array.from({ length: 100 }, (_, index) => ({
      worker: new Worker(`worker-${index}`, 64),
      load: 0.5,
    }));
    const digests = Array.from({ length: 9 }, (_, block) => 1_000 + block);
    const chosen = new Set(
      Array.from({ length: requests }, (_, index) =>
        policy.choose({ candidates, meanLoad: 0.5, digests, now: index * 10, daemons }),
      ),
    );
    if (most === 1) t.is(chosen.size, 1);
    else t.true(chosen.size > 3, `${chosen.size} workers`);
  });
});

test('scheduler: daemons with queued requests divide the spare capacity of one report', (t) => {
  const daemons = 8;
  const dispatched = Array.from({ length: daemons }, (_, index) => {
    const random = (): number => (index + 0.5) / daemons;
    const scheduler = new RouteScheduler({
      policy: new LeastLoadPolicy(random),
      retries: new RetryBudget(),
      daemons: () => daemons,
      random,
    });
    const documents = [{ name: 'a', state: 'serving' as const, concurrency: 64 }];
    const run = (commands: Iterable<RouteCommand>): number =>
      [...commands].filter(({ type }) => type === 'dispatch').length;
    run(scheduler.handle({ type: 'workers', documents }, 0));
    const full = { type: 'report', worker: 'a', report: { open: 64, ageMs: 0 } } as const;
    run(scheduler.handle(full, 0));
    for (let waiting = 0; waiting < 5; waiting += 1) {
      const ticket: Ticket = {
        id: `${waiting}`,
        workspace: 'w',
        priority: 'normal',
        digests: [],
        isRetry: false,
        excluded: [],
        deadline: 10_000,
      };
      run(scheduler.handle({ type: 'submit', ticket }, 1));
    }
    const room = { type: 'report', worker: 'a', report: { open: 48, ageMs: 0 } } as const;
    return run(scheduler.handle(room, 500));
  });
  t.is(
    dispatched.reduce((sum, count) => sum + count, 0),
    16,
  );
});
