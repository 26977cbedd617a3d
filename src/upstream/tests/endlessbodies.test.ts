import test from 'ava';

import { EndlessServer } from '../../../testbed/endlessserver.js';
import { OperatorClient } from '../../cli/client.js';
import { HttpInstanceList, HttpObjectStore } from '../../store/index.js';
import { EventSplitter } from '../eventsplitter.js';
import { HttpModelEngine } from '../httpmodelengine.js';
import { HttpOrderClient } from '../httporderclient.js';
import { HttpPlainService } from '../httpplainservice.js';
import { HttpWorkerReportClient } from '../httpworkerreportclient.js';

import type { ModelCall } from '../modelcall.js';

/** Time within which a call fails, in milliseconds: below all time limits of the clients but those for pauses. */
const FAILURE_TIMEOUT_MS = 10_000;

/** Most that the server may have sent when a call fails, in bytes: twice the largest limit. */
const MAX_READ_BYTES = 2 * 67_108_864;

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const OK_HEAD = `HTTP/1.1 200 OK\r\n${CHUNKED}`;
const BUSY_HEAD = `HTTP/1.1 503 Busy\r\n${CHUNKED}`;
const LARGE_CHUNK = `10000\r\n${'1'.repeat(65_536)}\r\n`;

const CALL: ModelCall = {
  id: 'a',
  model: 'm',
  messages: [],
  maxTokens: 1,
  priority: 0,
  prefixDigests: [],
  firstByteMs: FAILURE_TIMEOUT_MS,
  silenceMs: FAILURE_TIMEOUT_MS,
};

const PLAIN_CALL = {
  id: 'a',
  key: 'k',
  method: 'GET',
  path: '/',
  contentType: 'text/plain',
  body: Buffer.alloc(0),
  timeoutMs: FAILURE_TIMEOUT_MS,
} as const;

interface Row {
  readonly title: string;
  readonly head: string;
  /** Makes a call; returns whether it succeeded. */
  readonly call: (url: string) => Promise<boolean>;
}

async function readsStream(url: string): Promise<boolean> {
  const engine = new HttpModelEngine();
  const answer = await engine.generate(url, CALL, AbortSignal.timeout(FAILURE_TIMEOUT_MS));
  let isWhole = false;
  for await (const item of answer.unwrap()) isWhole = item.kind === 'end';
  await engine.close();
  return isWhole;
}

const ROWS: readonly Row[] = [
  {
    title: 'an answer of a plain service',
    head: OK_HEAD,
    call: async (url) => (await new HttpPlainService().call(url, PLAIN_CALL)).ok,
  },
  {
    title: 'a refusal of a model engine',
    head: BUSY_HEAD,
    call: async (url) =>
      (await new HttpModelEngine().generate(url, CALL, new AbortController().signal)).ok,
  },
  { title: 'an event of a model engine', head: OK_HEAD, call: readsStream },
  {
    title: 'a report of a worker',
    head: OK_HEAD,
    call: async (url) => (await new HttpWorkerReportClient().read(url, 0)).ok,
  },
  {
    title: 'the orders of an upstream',
    head: OK_HEAD,
    call: async (url) => (await new HttpOrderClient().state(url)).ok,
  },
  {
    title: 'an object of the store',
    head: OK_HEAD,
    call: async (url) => (await new HttpObjectStore(url).read('k')).ok,
  },
  {
    title: 'the list of instances',
    head: OK_HEAD,
    call: async (url) => (await new HttpInstanceList(url).fetch()).ok,
  },
  {
    title: 'an answer to an operator',
    head: OK_HEAD,
    call: async (url) => (await new OperatorClient({ url, key: 'k' }).get('status')).ok,
  },
];

// A body that never ends must not be kept until the process runs out of memory.
ROWS.forEach(({ title, head, call }) => {
  test(`a call fails in time and memory although its body never ends: ${title}`, async (t) => {
    const server = await EndlessServer.start({
      head,
      piece: LARGE_CHUNK,
      pauseMs: 0,
      idHeader: 'x-request-id',
    });
    t.teardown(() => server.stop());
    const startedAt = performance.now();
    t.false(await call(`http://${server.address}`));
    const tookMs = Math.round(performance.now() - startedAt);
    t.true(tookMs < FAILURE_TIMEOUT_MS, `${tookMs} ms`);
    t.true(server.written < MAX_READ_BYTES, `${server.written} bytes`);
  });
});

test('events are the same however their stream is split into chunks', (t) => {
  const text = 'data: a\n\ndata: b\ndata: c\n\n\n\ndata: d';
  const whole = new EventSplitter().push(Buffer.from(text));
  for (let size = 1; size < text.length; size += 1) {
    const splitter = new EventSplitter();
    const parts = Array.from({ length: Math.ceil(text.length / size) }, (_none, at) =>
      splitter.push(Buffer.from(text.slice(at * size, (at + 1) * size))),
    );
    t.is(parts.map(({ complete }) => complete.toString()).join(''), whole.complete.toString());
    t.is(
      parts.reduce((sum, { events }) => sum + events, 0),
      whole.events,
    );
    t.true(splitter.hasPartialEvent);
  }
});
