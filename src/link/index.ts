/** Peer links: typed messages in MessagePack over WebSocket. */
export * from './instancedirectory.js';
export * from './messages.js';
export * from './peernetwork.js';
export * from './polledinstancedirectory.js';
export * from './wspeernetwork.js';
