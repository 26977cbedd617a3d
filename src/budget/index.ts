/** Budget aggregate: escrow, grants, reservations and charge lines. */
export * from './charge.js';
export * from './escrow.js';
export * from './ledger.js';
export * from './recovery.js';
export * from './settlement.js';
export * from './shard.js';
export * from './statement.js';
