/** Distinguishes errors before a request was sent from errors after that. */

/** Error codes of undici, Node.js and WatchedSocket after which certainly no byte of the request was sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'SOCKET_ENDED',
]);

/**
 * Checks whether an error proves that the request was never sent.
 * @param err - error of the HTTP client
 * @returns whether certainly nothing was sent
 */
export function wasNeverSent(err: unknown): boolean {
  const { code } = err as { code?: string };
  return code !== undefined && UNSENT_CODES.has(code);
}
