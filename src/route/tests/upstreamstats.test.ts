import test from 'ava';

import { UpstreamStats } from '../upstreamstats.js';

const TOKENS_PER_MS = 60;

const ROWS = [
  { title: 'a long prompt of another daemon', sent: [[0, 6_000]], at: 0, left: 6_000 },
  { title: 'the same prompt, half processed', sent: [[0, 6_000]], at: 50, left: 3_000 },
  { title: 'the same prompt, processed', sent: [[0, 6_000]], at: 100, left: 0 },
  {
    title: 'two prompts, processed one after the other',
    sent: [
      [0, 6_000],
      [50, 6_000],
    ],
    at: 100,
    left: 6_000,
  },
  {
    title: 'a prompt that arrives after an idle period',
    sent: [
      [0, 600],
      [1_000, 6_000],
    ],
    at: 1_000,
    left: 6_000,
  },
] as const;

ROWS.forEach(({ title, sent, at, left }) => {
  test(`${title}: ${left} tokens are not yet processed`, (t) => {
    const stats = new UpstreamStats();
    sent.forEach(([now, tokens]) => stats.recordPeerPrompt(tokens, TOKENS_PER_MS, now));
    t.is(stats.pendingPeerTokens(TOKENS_PER_MS, at), left);
  });
});

test('own prompts count until their answers begin, reported loads until they are too old', (t) => {
  const stats = new UpstreamStats();
  const send = { sentAt: 0, uncachedTokens: 500, memoryTokens: 700, isAnswered: false };
  const open = stats.begin(send);
  t.deepEqual([stats.open, stats.pendingTokens, stats.memoryTokens], [1, 500, 700]);
  t.is(stats.silentMs(900), 900);
  stats.recordResponse(open, { running: 7, waiting: 2 }, 1_000);
  t.deepEqual([stats.estimatedOpen(1_100), stats.waiting(1_100), stats.pendingTokens], [9, 2, 0]);
  t.is(stats.silentMs(1_200), 0);
  stats.end(open);
  t.deepEqual([stats.estimatedOpen(1_100), stats.estimatedOpen(2_600), stats.open], [8, 0, 0]);
});
