/** Reads the bodies of callers' requests up to a size limit. */
import type { Readable } from 'node:stream';

/**
 * Maximum size that is read and discarded beyond the limit, as a multiple of the limit: a caller that is
 * still sending when the connection closes cannot read the response.
 */
const MAX_DISCARDED_RATIO = 4;

/** Result of reading a body. */
export interface ReadBody {
  /** The complete body; undefined if it is empty or too large. */
  readonly bytes: Buffer | undefined;
  readonly isTooLarge: boolean;
}

/**
 * Reads the body of a request.
 * @param source - the request
 * @param limitBytes - maximum size of the body, in bytes
 * @returns the body, or the information that it is too large
 * @throws if the caller closes its connection before the end
 */
export async function readBody(source: Readable, limitBytes: number): Promise<ReadBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  // Leaving the loop must not destroy the stream: the response needs its connection.
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
