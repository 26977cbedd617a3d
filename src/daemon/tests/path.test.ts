import test from 'ava';

import { callModel, callService } from '../../../testbed/caller.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { waitFor } from '../../../testbed/wait.js';

import type { ChargeLine } from '../../budget/index.js';

test('a request through any daemon is answered completely and charged once', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 100_000 });
  t.teardown(() => fleet.stop());
  const answers = await Promise.all(
    fleet.daemons.map(({ url }, index) =>
      callModel({
        url,
        apiKey: API_KEY,
        model: 'drafts',
        prompt: `summary ${index}`,
        maxTokens: 10,
        key: `key-${index}`,
      }),
    ),
  );
  t.deepEqual(
    answers.map(({ isComplete: whole, code }) => ({ whole, code })),
    answers.map(() => ({ whole: true, code: undefined })),
  );
  t.true(answers[1]?.content.startsWith('summary-0 1-1 '));
  const dispatched = await callService({
    url: fleet.daemon(2).url,
    apiKey: API_KEY,
    route: 'dispatch',
    path: '/crews',
    key: 'crew-1',
    body: { street: 'Honmachi' },
  });
  t.is(dispatched.status, 200);
  await waitFor('every charge is settled', async () => {
    const lines = await fleet
      .daemon(0)
      .operator<readonly ChargeLine[]>('workspaces/shop/statement');
    return lines.length === 4;
  });
  const lines = await fleet.daemon(1).operator<readonly ChargeLine[]>('workspaces/shop/statement');
  t.deepEqual(lines.map(({ key }) => key).sort(), ['crew-1', 'key-0', 'key-1', 'key-2']);
  t.is((await fleet.budget()).spent, 3 * (3 + 10) + 1);
});

const REFUSALS = [
  { title: 'unknown key', apiKey: 'wrong', model: 'drafts', status: 401, code: 'unknown-key' },
  { title: 'unknown route', apiKey: API_KEY, model: 'none', status: 404, code: 'unknown-route' },
] as const;

test('refusals have a failure code and state that the request did not run', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 20 });
  t.teardown(() => fleet.stop());
  const { url } = fleet.daemon(0);
  const refused = await Promise.all(
    REFUSALS.map(({ apiKey, model }) =>
      callModel({ url, apiKey, model, prompt: 'hello', maxTokens: 4 }),
    ),
  );
  t.deepEqual(
    refused.map(({ status, code, outcome }) => ({ status, code, outcome })),
    REFUSALS.map(({ status, code }) => ({ status, code, outcome: 'not-run' })),
  );
  const poor = await callModel({
    url,
    apiKey: API_KEY,
    model: 'drafts',
    prompt: 'hello',
    maxTokens: 100,
  });
  t.is(poor.status, 402);
  t.is(poor.code, 'budget-exhausted');
  t.is(
    fleet.engines.reduce((sum, { counts }) => sum + counts.requests, 0),
    0,
  );
});
