/** Budget aggregate: escrow, grants, reservations and charge lines. */
export * from './charge.js';
export * from './escrow.js';
export * from './ledger.js';
export * from './returning.js';
export * from './shard.js';
