import { once } from 'node:events';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';
import { Client } from 'undici';

import type { AddressInfo } from 'node:net';
import { ReadShare } from '../readshare.js';
import { WatchedSocket } from '../watchedsocket.js';

import type { AnswerTime, LoopUse } from '../readshare.js';

/** Time that an answer takes of each turn of the event loop, in milliseconds. */
const WORK_MS = 2;

/** Time for which answers are read, in milliseconds. */
const RUN_MS = 1_000;

/** Share of the event loop that upstreams with endless answers may take together; a quarter is meant. */
const MAX_SHARE = 0.5;

function work(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Reads endless answers for a while; returns for how long they were read, in milliseconds. */
async function readEndless(use: LoopUse, answers: number): Promise<number> {
  const share = new ReadShare(use);
  const until = performance.now() + RUN_MS;
  let usedMs = 0;
  const read = (answer: AnswerTime): void => {
    if (performance.now() > until) return;
    if (!share.mayRead(answer)) {
      share.wait(answer, () => read(answer));
      return;
    }
    share.startRead(answer);
    work(WORK_MS);
    usedMs += WORK_MS;
    setImmediate(() => read(answer));
  };
  const times = Array.from({ length: answers }, () => ({ readMs: 0 }));
  times.forEach(read);
  await delay(RUN_MS + 100);
  return usedMs;
}

[
  { title: 'one answer of one upstream', upstreams: 1, answers: 1 },
  { title: 'many answers of one upstream', upstreams: 1, answers: 8 },
  { title: 'many answers of several upstreams', upstreams: 4, answers: 8 },
].forEach(({ title, upstreams, answers }) => {
  test.serial(`endless answers leave most of the event loop to others: ${title}`, async (t) => {
    const use = { waiting: 0 };
    const used = await Promise.all(
      Array.from({ length: upstreams }, () => readEndless(use, answers)),
    );
    const total = used.reduce((sum, ms) => sum + ms, 0);
    t.true(total < RUN_MS * MAX_SHARE, `${Math.round(total)} ms of ${RUN_MS}`);
    t.true(used.every((ms) => ms > 0));
  });
});

test.serial('an answer that takes little time does not wait for the share of others', async (t) => {
  const share = new ReadShare();
  const endless = { readMs: 0 };
  share.startRead(endless);
  work(5 * WORK_MS);
  t.false(share.mayRead(endless));
  t.false(share.mayRead({ readMs: 0 }), 'the turn of the event loop is used up');
  const startedAt = performance.now();
  await new Promise<void>((resolve) => {
    share.wait({ readMs: 0 }, resolve);
  });
  t.true(share.mayRead({ readMs: 0 }));
  t.false(share.mayRead(endless), `${performance.now() - startedAt} ms`);
});

/** Body that is larger than what a socket holds, so that it is read in many parts. */
const BODY = Buffer.alloc(3_000_000, 'b');

[
  { title: 'its bytes arrive at once', pieceBytes: BODY.length, pauseMs: 0 },
  { title: 'its bytes arrive in pieces', pieceBytes: 500_000, pauseMs: 20 },
].forEach(({ title, pieceBytes, pauseMs }) => {
  ['length', 'chunks', 'close'].forEach((framing) => {
    test.serial(`a large answer is read whole: ${title}, framed by ${framing}`, async (t) => {
      const server = createServer((socket) => {
        const write = async (): Promise<void> => {
          const framed = framing === 'chunks';
          const field = {
            length: `Content-Length: ${BODY.length}`,
            chunks: 'Transfer-Encoding: chunked',
          };
          const line = field[framing as keyof typeof field] ?? 'Connection: close';
          socket.write(`HTTP/1.1 200 OK\r\n${line}\r\n\r\n`);
          for (let at = 0; at < BODY.length; at += pieceBytes) {
            const piece = BODY.subarray(at, at + pieceBytes);
            if (framed) socket.write(`${piece.length.toString(16)}\r\n`);
            socket.write(piece);
            if (framed) socket.write('\r\n');
            // eslint-disable-next-line no-await-in-loop
            if (pauseMs > 0) await delay(pauseMs);
          }
          if (framed) socket.write('0\r\n\r\n');
          if (framing === 'close') socket.end();
        };
        socket.on('error', () => undefined);
        socket.once('data', () => {
          void write();
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const socket = new WatchedSocket(new ReadShare());
      const { port } = server.address() as AddressInfo;
      const client = new Client(`http://127.0.0.1:${port}`, { connect: socket.connector(1_000) });
      t.teardown(async () => {
        await client.destroy();
        server.close();
      });
      const { body } = await client.request({ method: 'GET', path: '/' });
      let bytes = 0;
      for await (const part of body) {
        socket.noteBody((part as Buffer).length);
        bytes += (part as Buffer).length;
        // A slow reader uses up the share, and is paused.
        if (bytes % 100_000 < 5_000) work(1);
      }
      t.is(bytes, BODY.length);
      if (framing === 'close') t.is(socket.ending, 'closed');
    });
  });
});
