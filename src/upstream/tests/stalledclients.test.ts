import test from 'ava';

import { stall } from '../../../testbed/stall.js';
import { ThreadedUpstream } from '../../../testbed/threadedupstream.js';
import { HttpOrderClient } from '../httporderclient.js';
import { HttpWorkerReportClient } from '../httpworkerreportclient.js';

import type { Failure, Result } from '../../kernel/index.js';

/** Time limit of a call that takes one, in milliseconds. */
const LIMIT_MS = 500;

/** Time of the stall, in milliseconds: beyond the limits of all calls. */
const STALL_MS = 1_900;

/** Time after the request at which the answer is sent, in milliseconds: within the limits and the stall. */
const ANSWER_AFTER_MS = 200;

/** Time after the request for an answer that comes too late, in milliseconds. */
const FAR_MS = 60_000;

const ORDER = { id: 'o', order: 'drain', fence: 1 };

interface Row {
  readonly title: string;
  readonly body: string;
  /** Calls the upstream with a new client. */
  readonly call: (url: string) => Promise<Result<unknown, Failure>>;
}

const ROWS: readonly Row[] = [
  {
    title: 'a load report',
    body: JSON.stringify({ open: 1 }),
    call: (url) => new HttpWorkerReportClient().read(url, 0),
  },
  {
    title: 'the state of an upstream',
    body: JSON.stringify({ open: 1, orders: [] }),
    call: (url) => new HttpOrderClient().state(url),
  },
  {
    title: 'the result of an order',
    body: '{}',
    call: (url) => new HttpOrderClient().send(url, ORDER, LIMIT_MS),
  },
];

const ANSWERS = [
  { when: 'arrived during a stall is taken', afterMs: ANSWER_AFTER_MS, isOk: true },
  { when: 'has not arrived after a stall is lost', afterMs: FAR_MS, isOk: false },
];

ROWS.forEach(({ title, body, call }) => {
  ANSWERS.forEach(({ when, afterMs, isOk }) => {
    test.serial(`${title} that ${when}`, async (t) => {
      const text = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      const upstream = await ThreadedUpstream.start({
        answers: [{ text, then: 'keep', afterMs }],
        idHeader: 'none',
      });
      t.teardown(() => upstream.stop());
      const result = call(`http://${upstream.address}`);
      // Lets the request go out.
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      await stall(STALL_MS);
      t.is((await result).ok, isOk);
      t.is(await upstream.requestCount(), 1);
    });
  });
});
