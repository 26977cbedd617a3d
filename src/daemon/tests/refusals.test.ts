import test from 'ava';
import { request } from 'undici';

import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { postThenRead } from '../../../testbed/postthenread.js';
import { FAILURE_KINDS } from '../../kernel/index.js';

import type { FailureBody } from '../../kernel/index.js';

const CHAT = '/v1/chat/completions';
const ASK = { model: 'drafts', max_tokens: 4, messages: [{ role: 'user', content: 'hi' }] };
const TOO_LARGE = Buffer.alloc(4_194_305, 'a');

const ROWS = [
  { title: 'a body above the limit', path: CHAT, body: TOO_LARGE, code: 'body-too-large' },
  { title: 'broken JSON', path: CHAT, body: '{', code: 'malformed-request' },
  { title: 'an empty body', path: CHAT, body: '', code: 'malformed-request' },
  {
    title: 'no messages',
    path: CHAT,
    body: JSON.stringify({ ...ASK, messages: [] }),
    code: 'malformed-request',
  },
  {
    title: 'a zero output limit',
    path: CHAT,
    body: JSON.stringify({ ...ASK, max_tokens: 0 }),
    code: 'malformed-request',
  },
  {
    title: 'a service as a model',
    path: CHAT,
    body: JSON.stringify({ ...ASK, model: 'dispatch' }),
    code: 'unknown-route',
  },
  { title: 'a model as a service', path: '/services/drafts/x', body: '{}', code: 'unknown-route' },
  { title: 'an unknown path', path: '/v2/chat', body: '{}', code: 'not-found' },
] as const;

test('answers a caller that writes its whole oversized body before it reads', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 10_000 });
  t.teardown(() => fleet.stop());
  const headers = [`authorization: Bearer ${API_KEY}`];
  const answer = await postThenRead({
    url: fleet.daemon(0).url,
    path: CHAT,
    headers,
    size: 8_000_000,
  });
  t.regex(answer, /^HTTP\/1\.1 413 [^]*"code":"body-too-large"/);
});

test('refuses each invalid request with its code, status, remedy and the outcome "not-run"', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 10_000 });
  t.teardown(() => fleet.stop());
  const { url } = fleet.daemon(0);
  const answers = await Promise.all(
    ROWS.map(async ({ path, body }) => {
      const res = await request(`${url}${path}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${API_KEY}` },
        body,
      });
      const { error } = (await res.body.json()) as FailureBody;
      return { status: res.statusCode, ...error };
    }),
  );
  t.deepEqual(
    answers.map(({ status, code, outcome, remedy }) => ({ status, code, outcome, remedy })),
    ROWS.map(({ code }) => ({
      status: FAILURE_KINDS[code].status,
      code,
      outcome: 'not-run',
      remedy: FAILURE_KINDS[code].remedy,
    })),
  );
});
