/** Error of a request that was not sent because its connection had ended. */

/** The socket of a connection ended before a request was sent on it. */
export class SocketEndedError extends Error {
  readonly code = 'SOCKET_ENDED';

  /**
   * Creates the error.
   * @param address - "host:port" of the other side
   */
  constructor(address: string) {
    super(`the connection to ${address} ended before the request was sent; open a new one`);
  }
}
