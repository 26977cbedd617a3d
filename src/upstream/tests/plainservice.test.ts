import test from 'ava';

import { RawUpstream } from '../../../testbed/rawupstream.js';
import { HttpPlainService } from '../httpplainservice.js';

import type { RawAnswer } from '../../../testbed/rawupstream.js';

/** Longest wait of a call, in milliseconds. */
const TIMEOUT_MS = 400;

const OK = 'HTTP/1.1 200 OK\r\n';
const CLOSE = `${OK}Connection: close\r\n`;
const CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n';

interface Row {
  readonly title: string;
  readonly answer: RawAnswer;
  /** Body of a whole answer; undefined if the answer broke off. */
  readonly body: string | undefined;
}

const WHOLE: readonly Row[] = [
  {
    title: 'with a length',
    answer: { text: `${OK}Content-Length: 4\r\n\r\nabcd`, then: 'keep' },
    body: 'abcd',
  },
  {
    title: 'with a length, then close',
    answer: { text: `${CLOSE}Content-Length: 4\r\n\r\nabcd`, then: 'close' },
    body: 'abcd',
  },
  {
    title: 'without a body',
    answer: { text: `${CLOSE}Content-Length: 0\r\n\r\n`, then: 'close' },
    body: '',
  },
  {
    title: 'with chunks, then close',
    answer: { text: `${CLOSE}${CHUNKS}4\r\nabcd\r\n0\r\n\r\n`, then: 'close' },
    body: 'abcd',
  },
  {
    title: 'with neither length nor chunks, then close',
    answer: { text: `${CLOSE}\r\nabcd`, then: 'close' },
    body: 'abcd',
  },
  {
    title: 'with status 204',
    answer: { text: 'HTTP/1.1 204 No Content\r\n\r\n', then: 'close' },
    body: '',
  },
];

const BROKEN: readonly string[] = [
  'HTTP/1.1 2',
  OK,
  `${CLOSE}Content-Length: 8`,
  `${CLOSE}Content-Length: 80\r\n`,
  `${CLOSE}Content-Length: 80\r\n\r\nabcdefgh`,
  `${OK}Content-Length: 80\r\n\r\nabcdefgh`,
  `${CLOSE}${CHUNKS}`,
  `${CLOSE}${CHUNKS}1`,
  `${CLOSE}${CHUNKS}1f\r\nabc`,
  `${CLOSE}${CHUNKS}4\r\nabcd\r\n`,
  `${CLOSE}${CHUNKS}4\r\nabcd\r\n0\r\n`,
  `${OK}${CHUNKS}4\r\nabcd\r\n`,
];

const ROWS: readonly Row[] = [
  ...WHOLE,
  {
    title: 'with neither length nor chunks, then reset',
    answer: { text: `${CLOSE}\r\nabcd`, then: 'reset' },
    body: undefined,
  },
  ...['000', '099', '600', '999', '20', '2000'].map((status) => ({
    title: `with status ${status}`,
    answer: {
      text: `HTTP/1.1 ${status} X\r\nContent-Length: 4\r\n\r\nabcd`,
      then: 'keep',
    } as const,
    body: undefined,
  })),
  ...(['close', 'reset', 'keep'] as const).flatMap((then) =>
    BROKEN.map((text) => ({
      title: `that breaks off, then ${then}: ${JSON.stringify(text)}`,
      answer: { text, then },
      body: undefined,
    })),
  ),
];

ROWS.forEach(({ title, answer, body }) => {
  test(`an answer of a plain service is whole or counts as unknown: one ${title}`, async (t) => {
    const upstream = await RawUpstream.start([answer], 'x-request-id');
    t.teardown(() => upstream.stop());
    const service = new HttpPlainService();
    const answered = await service.call(`http://${upstream.address}`, {
      id: 'a',
      key: 'k',
      method: 'POST',
      path: '/',
      contentType: 'text/plain',
      body: Buffer.from('b'),
      timeoutMs: TIMEOUT_MS,
    });
    t.is(answered.ok ? answered.val.body.toString() : undefined, body);
    if (answered.err) t.is(answered.val.outcome, 'unknown');
    await service.close();
  });
});
