import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { callModel } from '../../../testbed/caller.js';
import { runCli } from '../../../testbed/cli.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';

import type { TimelineView } from '../../telemetry/index.js';

test('the time line of another daemon shows why a request was refused', async (t) => {
  const fleet = await Fleet.start({ daemons: 3, units: 50 });
  const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-timeline-'));
  t.teardown(async () => {
    await fleet.stop();
    await rm(dir, { recursive: true, force: true });
  });
  const ask = { apiKey: API_KEY, model: 'drafts', prompt: 'berth', maxTokens: 400, key: 'r-1' };
  const refused = await callModel({ ...ask, url: fleet.daemon(0).url });
  t.is(refused.code, 'budget-exhausted');

  const { url } = fleet.daemon(1);
  const shown = await runCli(['timeline', '--request', 'r-1', '--json', '--url', url]);
  t.is(shown.code, 0);
  const { events, unreachable } = JSON.parse(shown.stdout) as TimelineView;
  t.deepEqual(unreachable, []);
  const eventLines = events.map(({ name, subject }) => `${name} ${subject.detail ?? ''}`);
  t.deepEqual(eventLines, [
    'requestReceived route drafts, at most 417 units',
    'reservationShort needs 417, has 0',
    'grantDrawn 50 in all, 0 left',
    'storeAsked 0 left',
    'peerAsked 0 lent, 0 left',
    'peerAsked 0 lent, 0 left',
    'requestRefused budget-exhausted: main',
  ]);
  t.true(events.every(({ source }) => source.startsWith('entry-1~')));

  fleet.daemon(2).child.signal('SIGSTOP');
  const file = join(dir, 'page.html');
  const page = await runCli(['timeline', '--html', file, '--url', url]);
  t.is(page.code, 0);
  t.regex(page.stderr, /without the events of entry-3/);
  const html = await readFile(file, 'utf8');
  t.true(html.includes('<th>entry-1</th><th>entry-2</th>'));
  t.true(html.includes('No answer from entry-3.'));
  t.false(/(src|href)=|https?:\/\/(?!127)/.test(html));
  const wrong = await runCli(['timeline', '--since', 'yesterday', '--url', url]);
  t.is(wrong.code, 2);
});
