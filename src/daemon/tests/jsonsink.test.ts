import test from 'ava';
import { request } from 'undici';

import { tokenText } from '../../../fakes/index.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';

const MAX_TOKENS = 12;
const REQUEST_COUNT = 16;

/**
 * Each daemon starts with ten retries, so that every interrupted request can be retried, however
 * the requests are distributed over the engines.
 */
const DAEMON_COUNT = 2;

interface Completion {
  readonly choices?: readonly { readonly message: { readonly content: string } }[];
  readonly usage?: { readonly completion_tokens: number };
  readonly error?: { readonly code: string; readonly message: string };
}

function expected(prompt: string): string {
  return Array.from({ length: MAX_TOKENS }, (_, index) => tokenText(prompt, index)).join('');
}

async function complete(url: string, prompt: string): Promise<Completion> {
  const res = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${API_KEY}` },
    body: JSON.stringify({
      model: 'drafts',
      max_tokens: MAX_TOKENS,
      messages: [{ role: 'user', content: prompt }],
    }),
  });
  return (await res.body.json()) as Completion;
}

test('a JSON answer contains nothing of an earlier attempt that was interrupted', async (t) => {
  const fleet = await Fleet.start({ daemons: DAEMON_COUNT, engines: 2, units: 100_000 });
  t.teardown(() => fleet.stop());
  fleet.engines[0]?.setFaults({ cutAfter: 3 });
  const prompts = Array.from(
    { length: REQUEST_COUNT },
    (_, index) => `ledger ${index} of the berths`,
  );
  const answers = await Promise.all(
    prompts.map((prompt, index) => complete(fleet.daemon(index % DAEMON_COUNT).url, prompt)),
  );
  t.deepEqual(
    answers.map(({ choices, error }) => choices?.[0]?.message.content ?? error),
    prompts.map(expected),
  );
  t.true(answers.every(({ usage }) => usage?.completion_tokens === MAX_TOKENS));
  t.true(
    (fleet.engines[0]?.counts.requests ?? 0) > 0,
    'no attempt was interrupted: nothing was tested',
  );
});
