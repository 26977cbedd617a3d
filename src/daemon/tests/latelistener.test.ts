import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';
import { ReturningCallers } from '../../../testbed/returningcallers.js';

const CALLERS = 120;

/** Longest time of the test, in milliseconds: far above that of a stop, and below the time after which the runner gives up. */
const LIMIT_MS = 60_000;

/** Time between two pauses of the process, and length of a pause, in milliseconds. */
const RUN_MS = 40;
const PAUSE_MS = 300;

/** Time from the callers' begin to the signal, in milliseconds. */
const SIGNAL_AFTER_MS = 300;

/**
 * Longest time between the last byte of a request and the end of its connection without an answer, in milliseconds:
 * such a request crosses the close.
 */
const LOSS_SLACK_MS = 200;

const BODY = JSON.stringify({
  model: 'drafts',
  max_tokens: 1,
  messages: [{ role: 'user', content: 'summary' }],
});

const REQUEST = [
  'POST /v1/chat/completions HTTP/1.1',
  'host: soak.example',
  `authorization: Bearer ${API_KEY}`,
  'content-type: application/json',
  `content-length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

test('a stop of the chat interface does not reset connections that wait to be accepted when its listener closes', async (t) => {
  t.timeout(LIMIT_MS, 'the daemon has not ended');
  const fleet = await Fleet.start({ daemons: 1, units: 100_000 });
  t.teardown(() => fleet.stop());
  const { url, child } = fleet.daemon(0);
  const { hostname, port } = new URL(url);
  const callers = await ReturningCallers.start({
    host: hostname,
    port: Number(port),
    callers: CALLERS,
    request: REQUEST,
  });
  t.teardown(() => callers.stop());
  await delay(SIGNAL_AFTER_MS);
  child.signal('SIGTERM');
  while (child.running) {
    /* eslint-disable no-await-in-loop */
    await delay(RUN_MS);
    child.signal('SIGSTOP');
    await delay(PAUSE_MS);
    child.signal('SIGCONT');
    /* eslint-enable no-await-in-loop */
  }
  const exchanges = await callers.exchanges;
  const late = exchanges
    .filter(({ isAnswered, waitedMs }) => !isAnswered && waitedMs > LOSS_SLACK_MS)
    .map(({ waitedMs }) => Math.round(waitedMs));
  t.true(exchanges.length > CALLERS);
  t.deepEqual(late, [], 'ms from the last byte of requests to the reset of their connections');
});
