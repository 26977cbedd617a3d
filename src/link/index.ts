/** Peer links: typed messages over ws and msgpackr. */
export * from './instancedirectory.js';
export * from './messages.js';
export * from './peernetwork.js';
export * from './polledinstancedirectory.js';
export * from './wspeernetwork.js';
