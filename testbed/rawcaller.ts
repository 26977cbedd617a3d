/** Caller that reads one answer from a socket, and tells how the answer ended. */
import { createConnection } from 'node:net';

import { wasReset } from '../src/upstream/watchedsocket.js';

/** An answer as it arrived. */
export interface RawReceived {
  readonly status: number;
  /** Body without the framing of chunks. */
  readonly body: string;
  /** Whether the framing of the answer, or the regular end of its connection, says that it is complete. */
  readonly isComplete: boolean;
}

/** Splits a chunked body; what follows an incomplete chunk is missing. */
function decodeChunks(text: string): { readonly body: string; readonly isComplete: boolean } {
  let body = '';
  let rest = text;
  for (;;) {
    const [line = ''] = rest.split('\r\n', 1);
    const size = Number.parseInt(line, 16);
    if (size === 0) return { body, isComplete: rest.endsWith('\r\n\r\n') };
    if (Number.isNaN(size)) return { body, isComplete: false };
    const from = line.length + 2;
    body += rest.slice(from, from + size);
    rest = rest.slice(from + size + 2);
  }
}

function parse(text: string, isClosed: boolean): RawReceived {
  const [head = ''] = text.split('\r\n\r\n', 1);
  const rest = text.slice(head.length + 4);
  const status = Number(head.split(' ', 2)[1] ?? 0);
  if (/^transfer-encoding: chunked/im.test(head)) return { status, ...decodeChunks(rest) };
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length === undefined) return { status, body: rest, isComplete: isClosed };
  const body = rest.slice(0, Number(length));
  return { status, body, isComplete: body.length === Number(length) };
}

/**
 * Sends a GET request on a connection of its own and reads until the connection ends.
 * @param port - port of the daemon on the loopback interface
 * @param path - path of the request
 * @param headers - headers by name
 * @returns the answer
 */
export function receiveRaw(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<RawReceived> {
  return new Promise((resolve) => {
    const socket = createConnection(port, '127.0.0.1');
    let text = '';
    let isClosed = false;
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.1\r\nConnection: close\r\n${lines.join('')}\r\n`);
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('end', () => {
      isClosed = !wasReset(socket);
    });
    // A reset ends the answer early, which the result says.
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(parse(text, isClosed)));
  });
}
