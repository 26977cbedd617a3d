/** One connection to an upstream: one request at a time. */
import { buildConnector, Client } from 'undici';

/** Longest wait for a new connection, in milliseconds: an upstream that is gone does not refuse. */
const CONNECT_TIMEOUT_MS = 400;

/** Time for which an idle connection is kept where the upstream names none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** Taken off the idle time that an upstream names, in milliseconds: it may close first. */
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
        // Before the client's own listeners, which take either for the end of some answers.
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

/** One connection. */
export class UpstreamConnection {
  readonly client: Client;

  readonly #state: SocketState = { ending: undefined };

  isOpen = false;

  /**
   * Prepares a connection; it opens with its first request.
   * @param address - "IP:port" of the upstream
   * @param onClosed - called once when it has closed or failed
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

  /** How the socket ended, noted before the client acts on it; undefined while it is open. */
  get ending(): SocketState['ending'] {
    return this.#state.ending;
  }

  /** Closes the connection at once, with whatever is on it. */
  destroy(): void {
    this.isOpen = false;
    this.client.destroy(() => undefined);
  }
}
