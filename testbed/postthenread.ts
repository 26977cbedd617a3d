/** A caller that writes its whole request before it reads anything. */
import { once } from 'node:events';
import { connect } from 'node:net';

/** Bytes of one write; the next waits until the other side has taken it. */
const CHUNK_BYTES = 65_536;

/** A request with a body of some size. */
export interface PostRequest {
  readonly url: string;
  readonly path: string;
  /** Lines of the head, without the length. */
  readonly headers: readonly string[];
  /** Length of the body, in bytes. */
  readonly size: number;
}

/**
 * Posts a body in small writes and reads the answer afterwards.
 * @param post - the request
 * @returns the answer as text
 * @throws if the connection breaks while the body is written
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
    // Each write waits for the one before it.
    // eslint-disable-next-line no-await-in-loop
    if (!isTaken) await Promise.race([once(socket, 'drain'), broken]);
  }
  const [first] = (await Promise.race([once(socket, 'data'), broken])) as [Buffer];
  socket.destroy();
  return first.toString();
}
