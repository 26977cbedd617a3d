/** Tells errors before a request was sent from those after. */

/** Errors of undici that prove that no byte of the request was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/**
 * Says whether an error proves that the request was never sent.
 * @param err - error of the HTTP client
 * @returns whether nothing was sent
 */
export function wasNeverSent(err: unknown): boolean {
  const { code } = err as { code?: string };
  return code !== undefined && UNSENT_CODES.has(code);
}
