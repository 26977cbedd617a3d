/**
 * The part of undici that the bundled daemon uses. The index of the package also loads its fetch, WebSocket, cache and
 * mocks, which cost each start time and memory.
 */
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

// The index of the package adds the methods "request", "stream" and others in the same way.
Object.assign(Dispatcher.prototype, api);

export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';

/** Stands for the package's "request", which only clients of the chat interface use. */
export function request() {
  throw new Error('the bundled daemon has no global client of undici; use a Pool or a Client');
}
