/**
 * Allowance aggregate: units of prepaid workspaces that daemons may spend without a store call per
 * request.
 */
export * from './era.js';
export * from './borrowing.js';
export * from './holders.js';
export * from './holding.js';
export * from './recovery.js';
export * from './shard.js';
