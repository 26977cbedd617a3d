/** One connection to an upstream; carries one request at a time. */
import { buildConnector, Client } from 'undici';

/**
 * Time limit for opening a connection, in milliseconds: an address without an upstream may drop
 * packets instead of refusing.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Time for which an idle connection is kept if the upstream announces none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Subtracted from the idle time that an upstream announces, in milliseconds: the upstream might
 * close the connection first.
 */
const IDLE_MARGIN_MS = 600;

/** How the socket below a client ended; undefined while it is open. */
interface SocketState {
  ending: 'closed' | 'reset' | undefined;
}

function connector(state: SocketState): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const noted = state;
  return (options, callback) => {
    connect(options, (...result) => {
      const [err, socket] = result;
      if (err === null) {
        // Run before the client's own listeners, which treat each of these events as the end of
        // some answers.
        socket.prependListener('end', () => {
          noted.ending ??= 'closed';
        });
        socket.prependListener('error', () => {
          noted.ending = 'reset';
        });
        socket.prependListener('close', () => {
          noted.ending ??= 'reset';
        });
      }
      callback(...result);
    });
  };
}

/** One connection and how its socket ended. */
export class UpstreamConnection {
  readonly client: Client;

  readonly #state: SocketState = { ending: undefined };

  isOpen = false;

  /**
   * Creates a connection; it is opened by its first request.
   * @param address - "IP:port" of the upstream
   * @param onClosed - called when it has closed or failed
   */
  constructor(address: string, onClosed: (connection: UpstreamConnection) => void) {
    this.client = new Client(`http://${address}`, {
      connect: connector(this.#state),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('connect', () => {
      this.isOpen = true;
    });
    const markClosed = (): void => {
      this.isOpen = false;
      onClosed(this);
    };
    this.client.on('disconnect', markClosed);
    this.client.on('connectionError', markClosed);
  }

  /**
   * How the socket ended, recorded before the client handles the end; undefined while it is open.
   */
  get ending(): SocketState['ending'] {
    return this.#state.ending;
  }

  /** Closes the connection at once; a request on it fails. */
  destroy(): void {
    this.isOpen = false;
    this.client.destroy(() => undefined);
  }
}
