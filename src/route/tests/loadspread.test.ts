/** Tests of the rules against herding and against workspaces in excess. */
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
  { title: 'one workspace alone', demands: [demand('a', 9, 9)], excess: [] },
  { title: 'nobody waits', demands: [demand('a', 9, 0), demand('b', 1, 0)], excess: [] },
  { title: 'the heavy one', demands: [demand('a', 9, 5), demand('b', 1, 1)], excess: ['a'] },
  {
    title: 'a large one below what the heavy one holds',
    demands: [demand('a', 20, 30), demand('b', 8, 1), demand('c', 2, 0)],
    excess: ['a'],
  },
  {
    title: 'two that hold their shares',
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
  { title: 'one daemon keeps a prefix at its home', daemons: 1, requests: 20, most: 1 },
  { title: 'a rare prefix keeps its home in a large fleet', daemons: 800, requests: 1, most: 1 },
  { title: 'a prefix of the whole fleet gets several homes', daemons: 50, requests: 20, most: 20 },
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
    else t.true(chosen.size > 3, `${chosen.size} homes`);
  });
});

test('scheduler: daemons that wait divide the room that one report shows', (t) => {
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
