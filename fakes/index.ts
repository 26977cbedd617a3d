/** Stand-ins for the platform and the upstreams. */
export * from './instancelist.js';
export * from './modelengine.js';
export * from './objectstore.js';
export * from './plainservice.js';
export * from './orders.js';
