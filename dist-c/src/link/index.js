/** Peer links: typed messages over ws and msgpackr. */
export * from './directory.js';
export * from './messages.js';
export * from './peernetwork.js';
export * from './wspeernetwork.js';
//# sourceMappingURL=index.js.map