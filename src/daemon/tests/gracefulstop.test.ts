import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { Client, request } from 'undici';

import type { ExecutionContext } from 'ava';
import { callModel } from '../../../testbed/caller.js';
import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';

import type { DaemonProcess } from '../../../testbed/daemonprocess.js';

/** Longest time that a stop may take if no request is in progress, in milliseconds. */
const IDLE_STOP_MS = 15_000;

/** Time between two signals, and from the signal to the request that follows it, in milliseconds. */
const SIGNAL_INTERVAL_MS = 200;

/** Tokens of a running answer, and the time for each, in milliseconds. */
const TOKENS = 80;
const TOKEN_MS = 50;

/** Time that a call without a body takes, in milliseconds. */
const CALL_MS = 2_800;

const BODY = JSON.stringify({
  model: 'drafts',
  stream: true,
  max_tokens: 4,
  messages: [{ role: 'user', content: 'summary' }],
});

const HEAD = [
  'POST /v1/chat/completions HTTP/1.1',
  'host: soak.example',
  `authorization: Bearer ${API_KEY}`,
  'content-type: application/json',
  `content-length: ${BODY.length}`,
].join('\r\n');

/** Signals that have no use here, and would end the process by default or open its inspector. */
const IGNORED: readonly NodeJS.Signals[] = ['SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM'];

async function startFleet(t: ExecutionContext): Promise<Fleet> {
  const fleet = await Fleet.start({ daemons: 1, units: 100_000, tokenMs: TOKEN_MS });
  t.teardown(() => fleet.stop());
  return fleet;
}

async function startDaemon(t: ExecutionContext): Promise<DaemonProcess> {
  return (await startFleet(t)).daemon(0);
}

/** Sends SIGTERM; returns the exit code, or "runs" if the process has not exited in time. */
async function stopIdle({ child }: DaemonProcess): Promise<number | 'runs' | null> {
  child.signal('SIGTERM');
  return Promise.race([child.ended(), delay(IDLE_STOP_MS, 'runs' as const, { ref: false })]);
}

/** What a caller has sent on its connection when the stop begins. */
const UNREAD_REQUESTS: Readonly<Record<string, string>> = {
  'has sent nothing': '',
  'has sent half of its headers': HEAD.slice(0, HEAD.length / 2),
  'has sent half of its body': `${HEAD}\r\n\r\n${BODY.slice(0, BODY.length / 2)}`,
};

Object.entries(UNREAD_REQUESTS).forEach(([title, sent]) => {
  test(`a graceful stop ends although a caller ${title} and keeps its connection`, async (t) => {
    const daemon = await startDaemon(t);
    const { hostname, port } = new URL(daemon.url);
    const socket = connect(Number(port), hostname);
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    socket.write(sent);
    await delay(SIGNAL_INTERVAL_MS);
    t.is(await stopIdle(daemon), 0);
  });
});

interface RunningRow {
  readonly title: string;
  readonly signals: readonly NodeJS.Signals[];
}

const RUNNING_ROWS: readonly RunningRow[] = [
  { title: 'SIGTERM', signals: ['SIGTERM'] },
  { title: 'a second SIGTERM', signals: ['SIGTERM', 'SIGTERM'] },
  { title: 'SIGINT after SIGTERM', signals: ['SIGTERM', 'SIGINT'] },
  { title: 'SIGINT, SIGINT and SIGTERM', signals: ['SIGINT', 'SIGINT', 'SIGTERM'] },
  {
    title: 'SIGTERM and signals that are ignored',
    signals: ['SIGTERM', 'SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM'],
  },
];

RUNNING_ROWS.forEach(({ title, signals }) => {
  test(`a running answer with an idempotency key is completed after ${title}`, async (t) => {
    const { url, child } = await startDaemon(t);
    const answering = callModel({
      url,
      apiKey: API_KEY,
      model: 'drafts',
      prompt: 'summary',
      maxTokens: TOKENS,
      key: 'key-1',
      onChunk: () => undefined,
    });
    await delay(SIGNAL_INTERVAL_MS);
    for (const signal of signals) {
      child.signal(signal);
      // eslint-disable-next-line no-await-in-loop
      await delay(SIGNAL_INTERVAL_MS);
    }
    const { isComplete, status } = await answering;
    t.deepEqual({ isComplete, status }, { isComplete: true, status: 200 });
    t.is(await child.ended(), 0);
  });
});

IGNORED.forEach((signal) => {
  test(`a daemon of the chat interface serves on after ${signal}`, async (t) => {
    const daemon = await startDaemon(t);
    daemon.child.signal(signal);
    await delay(SIGNAL_INTERVAL_MS);
    await daemon.waitReady();
    t.true(daemon.child.running);
    t.is(await stopIdle(daemon), 0);
  });
});

test('a running call without a body is completed after SIGTERM', async (t) => {
  const fleet = await startFleet(t);
  const { url, child } = fleet.daemon(0);
  const faults = await request(`${fleet.urls.service}/admin/faults`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ delayMs: CALL_MS }),
  });
  await faults.body.dump();
  const calling = request(`${url}/services/lookup/x`, {
    headers: { authorization: `Bearer ${API_KEY}` },
  });
  await delay(SIGNAL_INTERVAL_MS);
  child.signal('SIGTERM');
  const { statusCode, body } = await calling;
  t.is(statusCode, 200);
  t.true(((await body.json()) as { readonly confirmed: boolean }).confirmed);
  t.is(await child.ended(), 0);
});

test('a request on a kept connection during a stop is refused as not run, and the connection closed', async (t) => {
  const { url, child } = await startDaemon(t);
  const client = new Client(url);
  t.teardown(() => client.destroy());
  await client.request({ method: 'GET', path: '/healthz' }).then(({ body }) => body.dump());
  child.signal('SIGTERM');
  await delay(SIGNAL_INTERVAL_MS);
  const res = await client.request({
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
    body: BODY,
  });
  const { error } = (await res.body.json()) as { readonly error: { readonly outcome: string } };
  t.deepEqual(
    { status: res.statusCode, outcome: error.outcome, connection: res.headers.connection },
    { status: 503, outcome: 'not-run', connection: 'close' },
  );
  t.is(await child.ended(), 0);
});
