/** Refuses what cannot be read as a request, without harm to the answers that are due before on the same connection. */
import { STATUS_CODES } from 'node:http';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Status for errors of the parser that are not named in STATUS_BY_ERROR. */
const BAD_REQUEST = 400;

/** Status by code of an error. */
const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** A request that was read, at least its head, and whose answer has not ended. */
interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

function refusalOf({ code = '' }: NodeJS.ErrnoException): string {
  const status = STATUS_BY_ERROR[code] ?? BAD_REQUEST;
  const text = STATUS_CODES[status] ?? '';
  const body = JSON.stringify({ error: text, statusCode: status });
  const fields = `Connection: close\r\nContent-Type: application/json\r\nContent-Length: ${body.length}`;
  return `HTTP/1.1 ${status} ${text}\r\n${fields}\r\n\r\n${body}`;
}

/** Sends a refusal and closes the connection, unless a part of an answer to the same request was sent. */
function refuse(socket: Socket, err: NodeJS.ErrnoException, unread: OpenRequest | undefined): void {
  if (!socket.writable || unread?.res.headersSent) socket.destroy();
  else socket.end(refusalOf(err), () => socket.destroy());
}

/**
 * Replaces the handling of bytes that are no request: the framework writes its refusal at once, in the place of the
 * answer to an earlier request, or into it.
 * @param server - server for callers
 */
export function refuseMalformedRequests(server: Server): void {
  const open = new WeakMap<Socket, Set<OpenRequest>>();
  const failed = new WeakSet<Socket>();
  server.prependListener('request', (req, res) => {
    const requests = open.get(req.socket) ?? new Set();
    open.set(req.socket, requests);
    const request = { req, res };
    requests.add(request);
    res.once('close', () => requests.delete(request));
  });
  server.removeAllListeners('clientError');
  server.on('clientError', (err: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    // Each further read of the connection repeats the error.
    if (failed.has(socket)) return;
    failed.add(socket);
    if (err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const requests = [...(open.get(socket) ?? [])];
    // The error lies within the body of a request that was not read completely.
    const unread = requests.find(({ req }) => !req.complete);
    const answers = requests.filter((request) => request !== unread);
    const ended = answers.map(
      ({ res }) =>
        new Promise((resolve) => {
          res.once('close', resolve);
        }),
    );
    void Promise.all(ended).then(() => refuse(socket, err, unread));
  });
}
