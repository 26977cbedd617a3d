/** Budget aggregate: escrow, demand, grants, loans, reservations and charge lines. */
export * from './admit.js';
export * from './charge.js';
export * from './demand.js';
export * from './draw.js';
export * from './escrow.js';
export * from './holding.js';
export * from './ledger.js';
export * from './lending.js';
export * from './messages.js';
export * from './recovery.js';
export * from './settlement.js';
export * from './shard.js';
export * from './sizing.js';
export * from './statement.js';
export * from './transfer.js';
