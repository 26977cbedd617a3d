/** Request aggregate: keys, claims and outcomes. */
export * from './body.js';
export * from './claim.js';
export * from './keyrecord.js';
export * from './keytable.js';
export * from './keycheck.js';
export * from './modelrequest.js';
export * from './serve.js';
