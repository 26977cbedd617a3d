/** Request aggregate: request bodies, idempotency keys, claims and the course of a request. */
export * from './body.js';
export * from './bodydrain.js';
export * from './claim.js';
export * from './keyrecord.js';
export * from './keytable.js';
export * from './keycheck.js';
export * from './modelrequest.js';
export * from './serve.js';
