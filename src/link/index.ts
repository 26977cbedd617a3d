/** Peer links: typed messages over ws and msgpackr. */
export * from './directory.js';
export * from './messages.js';
export * from './peernetwork.js';
export * from './polleddirectory.js';
export * from './wspeernetwork.js';
