/** Caller that sends its complete request before it reads any of the answer. */
import { once } from 'node:events';
import { connect } from 'node:net';

/** Bytes of one write; under backpressure the next write waits for "drain". */
const CHUNK_BYTES = 65_536;

/** POST request with a body of the given size. */
export interface PostRequest {
  readonly url: string;
  readonly path: string;
  /** Header lines without content-length; a host line is added if absent. */
  readonly headers: readonly string[];
  /** Length of the body, in bytes. */
  readonly size: number;
}

/**
 * Sends a POST request in chunks and reads the answer afterwards.
 * @param post - the request
 * @returns first chunk of the answer, with its head, as text
 * @throws if the connection fails before the first chunk of the answer
 */
export async function postThenRead({ url, path, headers, size }: PostRequest): Promise<string> {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  const broken = new Promise<never>((_resolve, reject) => {
    socket.on('error', reject);
  });
  await Promise.race([once(socket, 'connect'), broken]);
  const lines = [`POST ${path} HTTP/1.1`, ...headers, `content-length: ${size}`, '', ''];
  if (!headers.some((line) => line.startsWith('host:'))) lines.splice(1, 0, `host: ${hostname}`);
  socket.write(lines.join('\r\n'));
  for (let sent = 0; sent < size; sent += CHUNK_BYTES) {
    const isTaken = socket.write(Buffer.alloc(Math.min(CHUNK_BYTES, size - sent), 'a'));
    // Under backpressure, wait before the next write.
    // eslint-disable-next-line no-await-in-loop
    if (!isTaken) await Promise.race([once(socket, 'drain'), broken]);
  }
  const [first] = (await Promise.race([once(socket, 'data'), broken])) as [Buffer];
  socket.destroy();
  return first.toString();
}
