/** Reads the bodies of callers' requests within a limit. */
import type { Readable } from 'node:stream';

/**
 * Part of a body beyond the limit that is read and dropped, as a multiple of the limit: a caller that
 * still writes when the connection ends cannot read its answer.
 */
const MAX_DISCARDED_RATIO = 4;

/** A body as far as it was kept. */
export interface ReadBody {
  /** The whole body; undefined where there is none, or too much of it. */
  readonly bytes: Buffer | undefined;
  readonly isTooLarge: boolean;
}

/**
 * Reads a body.
 * @param source - the request
 * @param limitBytes - longest body that is kept, in bytes
 * @returns the body
 * @throws if the caller closes its connection before the end
 */
export async function readBody(source: Readable, limitBytes: number): Promise<ReadBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  // The connection is still needed for the answer.
  for await (const chunk of source.iterator({ destroyOnReturn: false })) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size <= limitBytes) chunks.push(bytes);
    else if (size > limitBytes * (1 + MAX_DISCARDED_RATIO)) break;
  }
  const isTooLarge = size > limitBytes;
  const bytes = size === 0 || isTooLarge ? undefined : Buffer.concat(chunks);
  return { bytes, isTooLarge };
}
