import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { request } from 'undici';

import { API_KEY } from '../../../testbed/documents.js';
import { Fleet } from '../../../testbed/fleet.js';

/** Time that a call takes, and after which bytes that are no request follow it, in milliseconds. */
const CALL_MS = 1_500;
const PAUSE_MS = 300;

interface Row {
  readonly title: string;
  readonly bytes: string;
  readonly status: number;
}

const ROWS: readonly Row[] = [
  { title: 'bytes that are no request', bytes: 'no request\r\n\r\n', status: 400 },
  {
    title: 'a head that is too large',
    bytes: `GET /readyz HTTP/1.1\r\nhost: x\r\nx-large: ${'x'.repeat(70_000)}\r\n\r\n`,
    status: 431,
  },
];

ROWS.forEach(({ title, bytes, status }) => {
  test(`a running call of the chat interface is answered before ${title} on its connection`, async (t) => {
    const fleet = await Fleet.start({ daemons: 1, units: 1_000 });
    t.teardown(() => fleet.stop());
    const faults = await request(`${fleet.urls.service}/admin/faults`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ delayMs: CALL_MS }),
    });
    await faults.body.dump();
    const socket = connect(fleet.daemon(0).port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    let text = '';
    socket.on('data', (part) => {
      text += String(part);
    });
    const key = `authorization: Bearer ${API_KEY}`;
    socket.write(`GET /services/lookup/x HTTP/1.1\r\nhost: soak.example\r\n${key}\r\n\r\n`);
    await delay(PAUSE_MS);
    socket.write(bytes);
    await once(socket, 'close');
    const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, seen]) => Number(seen));
    t.deepEqual(statuses, [200, status]);
    t.true(text.indexOf('"confirmed":true') < text.lastIndexOf('HTTP/1.1'));
    t.true(text.includes('"confirmed":true'));
  });
});
