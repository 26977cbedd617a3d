/** Reads bodies of limited size. */

/** A body exceeded its size limit. */
export class OversizedBodyError extends Error {
  readonly code = 'OVERSIZED_BODY';

  /**
   * Creates the error.
   * @param maxBytes - the limit
   */
  constructor(maxBytes: number) {
    super(`the body exceeds ${maxBytes} bytes; check what the other side sends`);
  }
}

/**
 * Reads a body to its end.
 * @param body - chunks in the order of arrival; abandoned if they exceed the limit
 * @param maxBytes - size limit, in bytes
 * @param onChunk - called with the length of each chunk
 * @returns the body
 * @throws OversizedBodyError if it is larger
 */
export async function readBounded(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
  onChunk: (bytes: number) => void = () => undefined,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    onChunk(chunk.length);
    length += chunk.length;
    if (length > maxBytes) throw new OversizedBodyError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/**
 * Reads a JSON body to its end.
 * @param body - chunks in the order of arrival
 * @param maxBytes - size limit, in bytes
 * @returns the parsed value
 * @throws OversizedBodyError if it is larger, SyntaxError if it is not JSON
 */
export async function readJson(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<unknown> {
  return JSON.parse((await readBounded(body, maxBytes)).toString()) as unknown;
}
