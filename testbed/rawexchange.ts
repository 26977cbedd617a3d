/** Sends requests over a raw connection and reads answers as bytes, for tests of answers that broke off. */
import { createConnection } from 'node:net';

/** Answer as received, and how its connection ended. */
export interface RawExchange {
  readonly text: string;
  /** "open" if the connection was still open at the end of the wait. */
  readonly ending: 'closed' | 'reset' | 'open';
}

/** A request, and how long its answer is read. */
export interface RawRequest {
  readonly host: string;
  readonly port: number;
  /** Bytes of the request, as text. */
  readonly text: string;
  /** Longest wait for the end of the answer or of the connection, in milliseconds. */
  readonly waitMs: number;
}

/** Head and body of an answer. */
interface Parts {
  readonly head: string;
  readonly body: string;
}

function partsOf(text: string): Parts | undefined {
  const end = text.indexOf('\r\n\r\n');
  return end < 0 ? undefined : { head: text.slice(0, end), body: text.slice(end + 4) };
}

/**
 * Checks whether a caller would take an answer for complete.
 * @param exchange - answer as received
 * @returns whether its length or its last chunk has arrived, or it has neither and its connection was closed
 */
export function looksComplete({ text, ending }: RawExchange): boolean {
  const parts = partsOf(text);
  if (!parts) return false;
  const length = /^content-length: (\d+)$/im.exec(parts.head)?.[1];
  if (length !== undefined) return parts.body.length >= Number(length);
  if (/^transfer-encoding: chunked$/im.test(parts.head))
    return /(^|\r\n)0\r\n\r\n$/.test(parts.body);
  return ending === 'closed';
}

/**
 * Sends a request and reads until its answer looks complete, its connection ends or the wait is over.
 * @param req - the request
 * @returns what was received
 */
export function exchangeRaw({ host, port, text, waitMs }: RawRequest): Promise<RawExchange> {
  return new Promise((resolve) => {
    const socket = createConnection(port, host);
    let received = '';
    const finish = (ending: RawExchange['ending']): void => {
      resolve({ text: received, ending });
      socket.destroy();
    };
    const timer = setTimeout(() => finish('open'), waitMs);
    socket.on('close', () => clearTimeout(timer));
    socket.on('error', () => finish('reset'));
    socket.on('end', () => finish('closed'));
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (looksComplete({ text: received, ending: 'open' })) finish('open');
    });
    socket.write(text);
  });
}
