/** Reads on after a request was refused before the end of its body. */
import type { Readable } from 'node:stream';

import { PolledTimer, SECOND_MS } from '../kernel/index.js';

/** Longest time for which the rest of a body is read, in milliseconds. */
export const MAX_DRAIN_MS = 10 * SECOND_MS;

/** Most bytes of the rest of a body that are read, as a multiple of the largest body that is allowed. */
export const MAX_DRAIN_RATIO = 4;

/** Bounds on the reading. */
export interface DrainBounds {
  /** Most bytes that are read. */
  readonly bytes: number;
  /** Longest time, in milliseconds. */
  readonly ms: number;
}

/** How it ended: with the body, with the connection, or as a bound was reached. */
export type DrainEnd = 'ended' | 'closed' | 'too-long' | 'too-slow';

/**
 * Reads and discards the rest of a body. A connection that is closed while bytes of it are unread is reset, and the
 * caller may not be able to read the answer that was sent before; one that is not read shows neither the end of the body
 * nor that of the connection.
 * @param source - the request
 * @param bounds - bounds on the reading
 * @param onRead - called with the number of bytes of each part
 * @returns how it ended; nothing is read after that
 */
export function drainBody(
  source: Readable,
  bounds: DrainBounds,
  onRead: (bytes: number) => void = () => undefined,
): Promise<DrainEnd> {
  return new Promise((resolve) => {
    let readBytes = 0;
    const finish = (end: DrainEnd): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- both refer to each other
      stop();
      resolve(end);
    };
    const onData = (part: Buffer): void => {
      readBytes += part.length;
      onRead(part.length);
      if (readBytes > bounds.bytes) finish('too-long');
    };
    const onEnd = (): void => finish('ended');
    const onClose = (): void => finish(source.readableEnded ? 'ended' : 'closed');
    const timer = new PolledTimer(bounds.ms, () => finish('too-slow'));
    const stop = (): void => {
      timer.clear();
      source.off('data', onData);
      source.off('end', onEnd);
      source.off('close', onClose);
      source.pause();
    };
    source.on('data', onData);
    source.on('end', onEnd);
    source.on('close', onClose);
    // "close" follows.
    source.on('error', () => undefined);
    if (source.readableEnded || source.destroyed) onClose();
    else source.resume();
  });
}
