import { once } from 'node:events';
import { createServer } from 'node:net';

import test from 'ava';
import { Client } from 'undici';

import type { AddressInfo, Socket } from 'node:net';
import { WatchedSocket } from '../watchedsocket.js';

/** Size of the body, in bytes. */
const BODY_BYTES = 8_000_000;

/** Number of bytes after which the reader pauses, and for how long, in milliseconds. */
const PAUSE_BYTES = 16_384;
const PAUSE_MS = 1;

/** Most bytes that are held for a reader that pauses. */
const MAX_HELD_BYTES = 262_144;

[
  { title: 'chunks of 200 bytes', chunkBytes: 200 },
  { title: 'chunks of 1,000 bytes', chunkBytes: 1_000 },
  { title: 'chunks of 20,000 bytes', chunkBytes: 20_000 },
  { title: 'one chunk', chunkBytes: BODY_BYTES },
].forEach(({ title, chunkBytes }) => {
  test.serial(
    `a large answer reaches a reader that pauses, and is not held: ${title}`,
    async (t) => {
      const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
      const chunks = chunk.repeat(BODY_BYTES / chunkBytes);
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const watched = new WatchedSocket();
      const connect = watched.connector(1_000);
      let socket: Socket | undefined;
      const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
        connect: (options, callback) =>
          connect(options, (...result) => {
            socket = result[1] ?? undefined;
            callback(...result);
          }),
      });
      t.teardown(async () => {
        await client.destroy();
        server.close();
      });
      let bytes = 0;
      let sincePause = 0;
      let mostHeld = 0;
      const ending = await new Promise<string>((resolve) => {
        client.dispatch(
          { path: '/', method: 'GET' },
          {
            onRequestStart: () => watched.beginAnswer(),
            onResponseStart: () => undefined,
            onResponseData: (controller, data) => {
              watched.noteBody(data.length);
              bytes += data.length;
              sincePause += data.length;
              if (sincePause < PAUSE_BYTES) return;
              sincePause = 0;
              controller.pause();
              setTimeout(() => {
                mostHeld = Math.max(mostHeld, socket?.readableLength ?? 0);
                controller.resume();
              }, PAUSE_MS);
            },
            onResponseEnd: () => resolve('complete'),
            onResponseError: (_controller, err) => resolve(err.message),
          },
        );
      });
      t.is(ending, 'complete');
      t.is(bytes, BODY_BYTES);
      t.true(mostHeld < MAX_HELD_BYTES, `${mostHeld} bytes were held`);
    },
  );
});
