/** Gateway: relays requests to the upstreams of the route that matches by host and path. */
export * from './adapter.js';
export * from './configuration.js';
export * from './protocol.js';
export * from './settings.js';
export * from './upstreams.js';
