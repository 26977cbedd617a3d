import test from 'ava';

import { setTimeout as delay } from 'node:timers/promises';

import { callModel } from '../../../testbed/caller.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { waitFor } from '../../../testbed/wait.js';

import type { PlanState } from '../../plan/index.js';

/** Time until every daemon has read the new instance list of the platform, in milliseconds. */
const LIST_PROPAGATION_MS = 6_000;

/**
 * Time during which the plan must keep its phase, in milliseconds; several step intervals of the
 * plan's executor.
 */
const OBSERVATION_MS = 2_000;

/** Longest wait for the recovery of a killed daemon, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 30_000;

const PLAN = { kind: 'upstream', name: 'leave', upstream: 'engine-1', orders: [] } as const;

test('does not arm a plan while an unlisted daemon is an active holder of units', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 10_000 });
  t.teardown(() => fleet.stop());
  const [first, second, hidden] = [fleet.daemon(0), fleet.daemon(1), fleet.daemon(2)];
  const chatRequest = { apiKey: API_KEY, model: 'drafts', prompt: 'berth', maxTokens: 5 };
  t.true((await callModel({ ...chatRequest, url: hidden.url })).isComplete);
  fleet.list.set([first.listed, second.listed]);
  await delay(LIST_PROPAGATION_MS);

  // The executor of a plan surveys itself even if it is unlisted. The unlisted daemon is paused
  // until another daemon has declared the plan, so that it does not become the executor.
  hidden.child.signal('SIGSTOP');
  await fleet.publish({ ...fleet.documents, plans: [PLAN] });
  const stored = (): PlanState => fleet.store.peek('plans/leave') as PlanState;
  await waitFor('the plan is declared', () => stored().phase === 'declared');
  hidden.child.signal('SIGCONT');
  await waitFor('the plan waits for the unlisted daemon', () =>
    stored().waitsFor.includes(`${hidden.options.name}~`),
  );
  await first.order('plans/leave', { action: 'start', operation: 'start-1' });
  await delay(OBSERVATION_MS);
  t.is(stored().phase, 'declared');

  hidden.child.signal('SIGKILL');
  await waitFor('the plan is done', () => stored().phase === 'done', RECOVERY_TIMEOUT_MS);
  t.is(stored().orders.length, 0);
});
