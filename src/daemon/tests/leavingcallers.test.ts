import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { LeavingCallers } from '../../../testbed/leavingcallers.js';

const CALLER_COUNT = 40;

/** Time for which the daemon is suspended, in milliseconds. */
const FREEZE_MS = 600;

/** Wait after the resumption before the requests at the engines are counted, in milliseconds. */
const SETTLE_MS = 500;

const BODY = JSON.stringify({
  model: 'drafts',
  stream: true,
  max_tokens: 4,
  messages: [{ role: 'user', content: 'summary' }],
});

test('requests do not reach an engine if their callers disconnect while the daemon is suspended', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 100_000 });
  t.teardown(() => fleet.stop());
  const { url, child } = fleet.daemon(0);
  const { hostname, port } = new URL(url);
  const callers = await LeavingCallers.start({
    host: hostname,
    port: Number(port),
    callers: CALLER_COUNT,
    request: [
      'POST /v1/chat/completions HTTP/1.1',
      `host: ${hostname}`,
      `authorization: Bearer ${API_KEY}`,
      'content-type: application/json',
      `content-length: ${BODY.length}`,
      '',
      BODY,
    ].join('\r\n'),
    earlier: undefined,
    leaveAfterMs: 150,
    how: 'close',
  });
  t.teardown(() => callers.stop());
  child.signal('SIGSTOP');
  callers.send();
  await delay(FREEZE_MS);
  child.signal('SIGCONT');
  await delay(SETTLE_MS);
  const counts = fleet.engines.map(({ counts: { requests } }) => requests);
  t.deepEqual(
    counts,
    counts.map(() => 0),
  );
});
