/** Stand-ins for everything outside the daemons. */
export * from './instancelist.js';
export * from './modelengine.js';
export * from './objectstore.js';
export * from './plainservice.js';
export * from './orders.js';
