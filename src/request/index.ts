/** Request aggregate: keys, claims and outcomes. */
export * from './claim.js';
export * from './modelrequest.js';
export * from './serve.js';
