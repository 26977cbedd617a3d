/** Gateway: passes requests through to the upstreams of routes that match by host and path. */
export * from './adapter.js';
export * from './configuration.js';
export * from './protocol.js';
export * from './settings.js';
export * from './upstreams.js';
